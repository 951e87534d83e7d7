/*! @file
 *  Instance log: what changed in the instance list, so that peers are sent
 *  only what they lack. With hundreds of entries behind a relay, whole lists
 *  would fill its link whenever one upstream changes. */
#ifndef SKYLARK_DISCOVERY_INSTANCE_LOG_HPP
#define SKYLARK_DISCOVERY_INSTANCE_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <skylark/discovery/instance.hpp>

namespace skylark {

/*! @brief An instance's name; the roles have names of their own. */
using instance_name = std::pair<instance_role, std::string>;

/*! @brief What leads from one list to a later one. */
struct instance_changes {
    std::uint64_t m_base{};  //!< index that it follows; 0: the list is whole
    std::uint64_t m_index{}; //!< index that it leads to
    std::vector<instance> m_present; //!< new or changed
    std::vector<instance_name> m_removed;

    bool operator==(const instance_changes&) const = default;
};

/*! @brief Remembers at which index each instance changed last. */
class instance_log {
public:
    /*! @brief Takes the list that is in use from now on. */
    void take(const instance_list& list);

    /*! @brief What leads from an index to the present list.
     *  @param index that a peer has; one that is unknown gets the whole list
     */
    [[nodiscard]] instance_changes since(std::uint64_t index) const;

private:
    struct entry {
        std::uint64_t m_changed{};          //!< index of its last change
        std::optional<instance> m_instance; //!< none: removed
    };

    void forget_removed();

    std::map<instance_name, entry> m_entries;
    std::size_t m_removed{}; // entries without an instance
    std::uint64_t m_index{}; // of the present list
    // Invariant: every change after this index is in m_entries.
    std::uint64_t m_complete_since{};
};

/*! @brief Applies changes to the list that they follow.
 *  @param base the list
 *  @param changes to apply
 *  @return the later list, or none when they do not follow the base */
std::optional<instance_list> apply(const instance_list& base,
                                   const instance_changes& changes);

/*! @brief Takes lapsed instances out of a list that the one before it no
 *  longer had: a removal that is known is not taken back by somebody who
 *  learns of it late.
 *  @param list the later list
 *  @param before the list in use */
void drop_returning(instance_list& list, const instance_list& before);

} // namespace skylark

#endif
