/*! @file
 *  Suggests the nearest known name for a misspelt one, for error messages. */
#ifndef SKYLARK_CORE_SUGGEST_HPP
#define SKYLARK_CORE_SUGGEST_HPP

#include <algorithm>
#include <numeric>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/*! @brief Levenshtein distance of two words.
 *  @return least number of inserted, removed and replaced characters */
inline std::size_t edit_distance(std::string_view left,
                                 std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced =
                diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

/*! @brief Formats input_error::m_expected for an unknown name.
 *  @param name unknown name as written
 *  @param known accepted names
 *  @return the nearest name, if one is within two edits, then all names */
inline std::string expected_one_of(std::string_view name,
                                   std::span<const std::string_view> known) {
    std::string all;
    std::string_view nearest;
    std::size_t best = 3; // from 3 edits on, a name is not a misspelling
    for (const std::string_view candidate : known) {
        if (!all.empty())
            all.append(", ");
        all.append(candidate);
        const std::size_t distance = edit_distance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    if (nearest.empty())
        return "one of: " + all;
    std::string out{'"'};
    out.append(nearest).append("\" perhaps; one of: ").append(all);
    return out;
}

} // namespace skylark

#endif
