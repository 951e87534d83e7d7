// Takes configurations into force and tells the parts that depend on them.
#include "entry/configurator.hpp"

#include <algorithm>
#include <utility>

#include "core/overloaded.hpp"

namespace skylark::entry {

void configurator::offer(const store_position& position,
                         const std::string& text, std::string_view source) {
    note_era(position.m_era);
    const document before = m_shared.m_config.current();
    const auto note = [&](const std::string& detail) {
        m_shared.m_journal.note(event_kind::configuration,
                                "revision " + text_of(position),
                                detail + " from " + std::string{source});
    };
    std::visit(
        overloaded{[&](const adopted&) {
                       note("adopted");
                       note_adoption(position, source);
                       apply_adopted(before, source);
                   },
                   [](const unchanged&) {},
                   [&](const reverted& old) {
                       if (std::exchange(m_noted_revert, old.m_offered) !=
                           old.m_offered)
                           note("ignored, older than what is in force,");
                       if (!old.m_zones_changed)
                           return;
                       note_zones(before);
                       m_changed();
                   },
                   [&](const refused& why) {
                       forget_announced();
                       if (std::exchange(m_noted_revert, position) != position)
                           note("refused: " + why.m_error.text());
                   }},
        m_shared.m_config.offer(position, text, io::event_loop::now()));
}

void configurator::apply_adopted(const document& before,
                                 std::string_view source) {
    const config_adoption& config = m_shared.m_config;
    if (config.current().m_teams != before.m_teams)
        m_shared.m_teams = team_directory{config.current().m_teams};
    m_shared.m_packed.set_text(config.text());
    m_documents.adopted(config.order());
    m_shared.m_newer_announced = m_documents.plan().pending();
    // Others wait for what the first ones of a zone have.
    if (source == "store" || m_shared.m_fleet.is_relay())
        m_shared.m_fleet.announce_config();
    note_zones(before);
    schedule_retention_end();
    m_changed();
}

// The store has nothing newer than what is in force.
void configurator::confirm(time_point at) {
    m_shared.m_config.confirmed(m_shared.m_config.order(), at);
    const time_point now = io::event_loop::now();
    // What a restored store has lost cannot be fetched from anybody.
    if (m_documents.plan().pending() &&
        at > now - m_documents.plan().pending_for(now))
        forget_announced();
}

void configurator::forget_announced() {
    m_documents.clear();
    m_delay.ended();
    m_shared.m_newer_announced = false;
}

void configurator::schedule_retention_end() {
    const auto end = m_shared.m_config.retention_end();
    if (!end)
        return;
    const duration left = *end - io::event_loop::now();
    m_shared.m_loop.after(std::max(duration{0}, left), [this] {
        const document before = m_shared.m_config.current();
        if (!m_shared.m_config.end_retention(io::event_loop::now()))
            return;
        note_zones(before);
        m_changed();
    });
}

} // namespace skylark::entry
