/*! @file
 *  List guard: holds back an instance list that drops most upstreams.
 *
 *  The platform's list lags and may be wrong, so such a list is accepted only
 *  when the loss persists. */
#ifndef SKYLARK_DISCOVERY_LIST_GUARD_HPP
#define SKYLARK_DISCOVERY_LIST_GUARD_HPP

#include <algorithm>
#include <optional>

#include <skylark/core/time.hpp>
#include <skylark/discovery/instance.hpp>

namespace skylark {

/*! @brief Decides whether an offered list is accepted. */
class list_guard {
public:
    /*! @param hold_time how long a loss of most upstreams must persist */
    explicit list_guard(duration hold_time) : m_hold_time{hold_time} {}

    /*! @brief Checks an offered list.
     *  @param current the list in use
     *  @param offered a later list
     *  @param now current time
     *  @return whether to use it; false keeps the current list for now */
    bool accepts(const instance_list& current, const instance_list& offered,
                 time_point now) {
        const auto before = upstream_count(current);
        const auto after = upstream_count(offered);
        if (after * 2 >= before) {
            m_held_since.reset();
            return true;
        }
        if (!m_held_since)
            m_held_since = now;
        return now - *m_held_since >= m_hold_time;
    }

    /*! @brief Whether a list is being held back. */
    [[nodiscard]] bool is_holding() const { return m_held_since.has_value(); }

private:
    static std::ptrdiff_t upstream_count(const instance_list& of) {
        return std::count_if(of.m_instances.begin(), of.m_instances.end(),
                             [](const instance& item) {
                                 return item.m_role == instance_role::upstream;
                             });
    }

    duration m_hold_time;
    std::optional<time_point> m_held_since;
};

} // namespace skylark

#endif
