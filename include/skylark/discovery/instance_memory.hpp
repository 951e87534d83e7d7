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
     *  @param list not older than the lists before
     *  @param now current time */
    void reconcile(instance_list& list, time_point now);

private:
    struct known {
        instance m_last;
        std::uint64_t m_era{}; //!< of the list that showed it last
        bool m_removed{};
    };
    using records = std::map<std::string, known, std::less<>>;

    bool correct(instance& offered, std::uint64_t era);
    void handle_missing(instance_list& list, time_point now);
    void bound_removed();

    duration m_rewrite_time;
    std::uint64_t m_era{};
    time_point m_rewrite_end;
    records m_known; // upstreams by id
};

} // namespace skylark

#endif
