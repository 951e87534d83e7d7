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

void configurator::note_failed_fetch(std::string_view what, const address& from,
                                     std::string_view cause) {
    m_shared.m_metrics.count(counter::config_fetch_failures);
    if (what == "configuration")
        m_delay.fetch_failed();
    m_shared.m_journal.note(event_kind::configuration,
                            "fetch from " + from.text(),
                            std::string{what} + ": " + std::string{cause});
}

// Which stage took the time: the store's call, the announcement, the fetches.
void configurator::note_adoption(const store_position& position,
                                 std::string_view source) {
    const time_point now = io::event_loop::now();
    const duration age = m_shared.m_config.age(now);
    std::string detail = "confirmed_ms_ago=";
    detail += age == duration::max() ? "never" : std::to_string(to_ms(age));
    detail += m_shared.m_fleet.is_watcher(now) ? " watcher" : " no watcher";
    if (source == "store")
        detail += " call_ms=" + std::to_string(to_ms(now - m_store_call));
    if (const auto first = m_delay.ended()) {
        detail += " announced_by=" + first->m_by.text() + " announced_ms_ago=" +
                  std::to_string(to_ms(now - first->m_at)) +
                  " failed_fetches=" + std::to_string(first->m_failed_fetches);
        m_shared.m_metrics.adopted(now - first->m_at);
    }
    m_shared.m_journal.note(event_kind::configuration,
                            "way of revision " + text_of(position), detail);
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
