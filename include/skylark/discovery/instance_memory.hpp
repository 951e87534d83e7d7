/*! @file
 *  Instance memory: what an entry knows of upstreams from before the store was
 *  restored from a copy.
 *
 *  The copy is older than what was known: it lists upstreams that are gone, as
 *  ready those that leave, and lacks those that started since. Records of
 *  different eras are therefore ordered by what their writers say, incarnation
 *  and sequence; within an era the store's order holds. */
#ifndef SKYLARK_DISCOVERY_INSTANCE_MEMORY_HPP
#define SKYLARK_DISCOVERY_INSTANCE_MEMORY_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <skylark/core/time.hpp>
#include <skylark/discovery/instance.hpp>

namespace skylark {

/*! @brief Corrects lists of a later era by what is known from earlier ones. */
class instance_memory {
public:
    /*! @param rewrite_time time after the first list of an era in which
     *  upstreams that are alive have written their records again */
    explicit instance_memory(duration rewrite_time)
        : m_rewrite_time{rewrite_time} {}

    /*! @brief Corrects a list and remembers it.
     *  @param list not older than the lists before; it may contain corrected
     *  records, as peers pass them on
     *  @param now current time
     *  @return whether the list differs from what the store says, or is the
     *  first of its era; changes to it are then no changes to a peer's list */
    bool reconcile(instance_list& list, time_point now);

private:
    struct known {
        instance m_last;            // without the time of its removal
        std::uint64_t m_era{};      // in which m_last was written
        std::uint64_t m_seen_era{}; // of the last list with any record of it
        bool m_removed{};
    };
    using records = std::map<std::string, known, std::less<>>;

    [[nodiscard]] bool correct(instance& offered, time_point now);
    void keep_missing(instance_list& list, time_point now);
    void bound_removed();

    duration m_rewrite_time;
    std::uint64_t m_era{};
    time_point m_rewrite_end;
    time_point m_comparison_end; // the copy's records have expired by then
    bool m_corrected{};          // the present list
    records m_known;             // upstreams by id
};

} // namespace skylark

#endif
