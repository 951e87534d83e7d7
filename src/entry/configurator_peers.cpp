// Configuration and instance list from peers that have newer ones.
#include "core/parse_number.hpp"
#include "entry/configurator.hpp"
#include "peer/codec.hpp"

namespace skylark::entry {

void configurator::peer_mark(const member& peer) {
    const config_mark& theirs = peer.m_config;
    m_peer_knows |= theirs.m_revision.known() && theirs.m_instances.known();
    const time_point answered = io::event_loop::now() - theirs.m_confirmed_age;
    m_shared.m_config.confirmed(theirs.order(), answered);
    m_store.confirmed(answered);
    const bool refused_before =
        theirs.m_revision == m_shared.m_config.refused_position();
    if (theirs.order() > m_shared.m_config.order() && !refused_before) {
        m_shared.m_newer_announced = true;
        m_delay.announced(peer.m_record.m_contact.m_control,
                          io::event_loop::now());
        fetch_document(peer);
    }
    if (theirs.m_instances > m_shared.m_instances.m_index)
        fetch_instances(peer);
}

namespace {

store_position position_of(const io::fetch_answer& answer) {
    return parse_position(answer.header_value("Config-Revision"))
        .value_or(store_position{});
}

std::string cause_of(const io::fetch_result& result) {
    if (const auto* failure = std::get_if<io::fetch_failure>(&result))
        return failure->m_cause;
    return "status " +
           std::to_string(std::get<io::fetch_answer>(result).m_status);
}

} // namespace

void configurator::fetch_document(const member& from) {
    if (std::exchange(m_fetching_document, true))
        return;
    io::fetch_request request;
    request.m_to = from.m_record.m_contact.m_control;
    request.m_path = "/peer/config";
    m_peers.run(
        request, [this, to = request.m_to](const io::fetch_result& result) {
            m_fetching_document = false;
            const auto* answer = std::get_if<io::fetch_answer>(&result);
            if (answer && position_of(*answer).known())
                offer(position_of(*answer), answer->m_body, "peer");
            else
                note_failed_fetch("configuration", to, cause_of(result));
        });
}

void configurator::fetch_instances(const member& from) {
    if (std::exchange(m_fetching_instances, true))
        return;
    io::fetch_request request;
    request.m_to = from.m_record.m_contact.m_control;
    request.m_path =
        "/peer/instances?after=" + text_of(m_shared.m_instances.m_index);
    m_peers.run(
        request, [this, to = request.m_to](const io::fetch_result& result) {
            m_fetching_instances = false;
            const auto* answer = std::get_if<io::fetch_answer>(&result);
            if (answer)
                take_changes(answer->m_body);
            else
                note_failed_fetch("instance list", to, cause_of(result));
        });
}

void configurator::take_changes(std::string_view body) {
    const auto changes = peer::decode_changes(
        {reinterpret_cast<const std::uint8_t*>(body.data()), body.size()},
        io::event_loop::now());
    if (!changes) {
        m_shared.m_journal.note(event_kind::configuration,
                                "a peer's instance list",
                                changes.error().text());
        return;
    }
    // Without the base of the changes, the next heartbeat leads to a new try.
    if (const auto list = apply(m_shared.m_instances, changes.value()))
        offer_instances(*list, "peer");
}

} // namespace skylark::entry
