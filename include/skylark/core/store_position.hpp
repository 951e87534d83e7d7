/*! @file
 *  Store position: as of which state of the platform's store something is
 *  known.
 *
 *  Revisions order the states of a store only until it is restored from a copy:
 *  then they go back and are given out again, in a later era. */
#ifndef SKYLARK_CORE_STORE_POSITION_HPP
#define SKYLARK_CORE_STORE_POSITION_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylark {

/*! @brief A revision of the store and the era that gave it out; ordered by era,
 *  then by revision. */
struct store_position {
    store_position() = default;
    /*! @param revision 0: nothing is known
     *  @param era 0 for a store that tells none */
    store_position(std::uint64_t revision, std::uint64_t era = 0)
        : m_era{era}, m_revision{revision} {}

    std::uint64_t m_era{}; // declared first, as it orders first
    std::uint64_t m_revision{};

    auto operator<=>(const store_position&) const = default;

    /*! @brief Whether this names a state. */
    [[nodiscard]] bool known() const { return m_revision != 0; }
};

/*! @brief Text form: "41", or "2:41" for revision 41 of era 2. */
std::string text_of(const store_position& position);

/*! @brief Reads the text form.
 *  @return nothing unless the whole text is a position; an empty one is
 *  position 0 */
std::optional<store_position> parse_position(std::string_view text);

} // namespace skylark

#endif
