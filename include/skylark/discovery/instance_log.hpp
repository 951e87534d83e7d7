/*! @file
 *  Instance log: changes of the instance list, so that peers are sent only
 *  the difference. With hundreds of entries behind a relay, whole lists would
 *  saturate its link whenever one upstream changes. */
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

/*! @brief Key of an instance; ids are unique within a role only. */
using instance_name = std::pair<instance_role, std::string>;

/*! @brief Difference between a list and a later one. */
struct instance_changes {
    store_position m_base;  //!< index of the earlier list; 0: whole list
    store_position m_index; //!< index of the later list
    std::vector<instance> m_present; //!< new or changed
    std::vector<instance_name> m_removed;

    bool operator==(const instance_changes&) const = default;
};

/*! @brief Records the index of each instance's last change. */
class instance_log {
public:
    /*! @brief Records the changes to the list that is in use from now on.
     *  @param list the list
     *  @param corrected whether a peer's list may differ at the same index, see
     *  instance_memory; peers then get the whole list */
    void update(const instance_list& list, bool corrected = false);

    /*! @brief Changes from an index to the current list.
     *  @param index of the peer's list
     *  @return the changes; the whole list when the index is newer than the
     *  current list or older than the recorded changes */
    [[nodiscard]] instance_changes since(const store_position& index) const;

private:
    struct record {
        store_position m_changed;           //!< index of its last change
        std::optional<instance> m_instance; //!< none: removed
    };

    void purge_removed();

    std::map<instance_name, record> m_records;
    std::size_t m_removed{}; // records without an instance
    store_position m_index;  // of the current list
    // Invariant: m_records holds every change after this index.
    store_position m_complete_since;
};

/*! @brief Applies changes to the list that they start from.
 *  @param base the list
 *  @param changes to apply
 *  @return the later list, or none when they start from another index */
std::optional<instance_list> apply(const instance_list& base,
                                   const instance_changes& changes);

/*! @brief Drops expired instances from a list unless the list in use still
 *  has them, so that a peer that learns of a removal late does not undo it.
 *  @param list the later list
 *  @param before the list in use */
void drop_resurrected(instance_list& list, const instance_list& before);

} // namespace skylark

#endif
