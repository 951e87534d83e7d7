/*! @file
 *  Ledger: the newest exposure of each entry, and their sum. */
#ifndef SKYLARK_ROLLOUT_LEDGER_HPP
#define SKYLARK_ROLLOUT_LEDGER_HPP

#include <compare>
#include <map>

#include <skylark/core/id.hpp>
#include <skylark/rollout/exposure.hpp>

namespace skylark {

/*! @brief One incarnation of an entry. */
struct reporter {
    entry_id m_id;
    std::uint64_t m_incarnation{};

    auto operator<=>(const reporter&) const = default;
};

/*! @brief Reports on one order. The last report of an entry that died stays in
 *  the sum, as its requests did reach the versions. */
class exposure_ledger {
public:
    /*! @brief Takes a report, unless a newer one of the same incarnation is
     *  known: datagrams are duplicated and overtake each other. */
    void report(const reporter& from, const exposure& what);

    /*! @brief Takes another entry's sum over all entries. */
    void sum_report(const exposure& what) {
        raise(m_reported_sum, what);
        m_stale = true;
    }

    /*! @brief The newest report of an entry; nullptr if there is none. */
    [[nodiscard]] const exposure* find(const reporter& from) const;

    /*! @brief Lower bound of the sum over all entries. Times are the longest,
     *  and the finding "bad" of any entry counts.
     *  @return valid until the next report */
    [[nodiscard]] const exposure& total();

private:
    std::map<reporter, exposure> m_reports;
    exposure m_reported_sum;
    // Requests need the sum far more often than reports change it.
    exposure m_total;
    bool m_stale{};
};

} // namespace skylark

#endif
