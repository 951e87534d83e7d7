// Events that tell what the configurator has taken in.
#include "entry/configurator.hpp"

#include <algorithm>

namespace skylark::entry {

void configurator::note_era(std::uint64_t era) {
    const std::uint64_t before = m_noted_era.value_or(era);
    m_noted_era = std::max(before, era);
    if (era > before)
        m_shared.m_journal.note(event_kind::configuration, "store",
                                "restored from a copy, era " +
                                    std::to_string(era));
}

void configurator::note_zones(const document& before) {
    for (const zone& now : m_shared.m_config.current().m_zones) {
        const zone* old = before.find_zone(now.m_name);
        if (!old || old->m_state != now.m_state)
            m_shared.m_journal.note(event_kind::zone, now.m_name,
                                    std::string{name_of(now.m_state)});
    }
}

// One line for each upstream whose use changes; the first list is counted.
void configurator::note_instances(const instance_changes& changes,
                                  std::string_view source) {
    const std::string grounds =
        " in list " + text_of(changes.m_index) + " from " + std::string{source};
    const auto note = [&](const std::string& subject, std::string_view what) {
        m_shared.m_journal.note(event_kind::upstream, subject,
                                std::string{what} + grounds);
    };
    if (!changes.m_base.known()) {
        note(std::to_string(changes.m_present.size()) + " instances", "listed");
        return;
    }
    for (const instance& item : changes.m_present)
        if (item.m_role == instance_role::upstream)
            note(item.m_id, item.m_leaving ? "leaving" : "listed");
    for (const auto& [role, id] : changes.m_removed)
        if (role == instance_role::upstream)
            note(id, "removed");
}

} // namespace skylark::entry
