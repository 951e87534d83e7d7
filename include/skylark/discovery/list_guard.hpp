/*! @file
 *  List guard: the platform's list lags and is no proof, so one that would
 *  drop most upstreams at once is believed only when it stays that way. */
#ifndef SKYLARK_DISCOVERY_LIST_GUARD_HPP
#define SKYLARK_DISCOVERY_LIST_GUARD_HPP

#include <algorithm>
#include <optional>

#include <skylark/core/time.hpp>
#include <skylark/discovery/instance.hpp>

namespace skylark {

/*! @brief Decides whether an offered list is taken. */
class list_guard {
public:
    /*! @param patience how long a list with few upstreams must persist */
    explicit list_guard(duration patience) : m_patience{patience} {}

    /*! @brief Looks at an offered list.
     *  @param current the list in use
     *  @param offered a later list
     *  @param now the present
     *  @return whether to use it; false holds the current one for now */
    bool accepts(const instance_list& current, const instance_list& offered,
                 time_point now) {
        const auto before = upstream_count(current);
        const auto after = upstream_count(offered);
        if (after * 2 >= before) {
            m_doubted_since.reset();
            return true;
        }
        if (!m_doubted_since)
            m_doubted_since = now;
        return now - *m_doubted_since >= m_patience;
    }

    /*! @brief Whether a list is being held back. */
    [[nodiscard]] bool doubts() const { return m_doubted_since.has_value(); }

private:
    static std::ptrdiff_t upstream_count(const instance_list& of) {
        return std::count_if(of.m_instances.begin(), of.m_instances.end(),
                             [](const instance& item) {
                                 return item.m_role == instance_role::upstream;
                             });
    }

    duration m_patience;
    std::optional<time_point> m_doubted_since;
};

} // namespace skylark

#endif
