// Configuration and instance list from peers that have newer ones.
#include <algorithm>

#include <skylark/core/hash.hpp>

#include "entry/configurator.hpp"
#include "io/http_status.hpp"
#include "peer/codec.hpp"
#include "peer/gzip.hpp"

namespace skylark::entry {

namespace {

// A document holds at most this many times its bytes in the store.
constexpr std::size_t document_limit = 16 * defaults::document_bytes;

store_position position_of(const io::fetch_answer& answer) {
    return parse_position(answer.header_value("Config-Revision"))
        .value_or(store_position{});
}

} // namespace

void configurator::peer_mark(const member& peer) {
    const config_mark& theirs = peer.m_config;
    const address& from = peer.m_record.m_contact.m_control;
    const transfer_source source{from,
                                 peer.m_record.m_contact.m_zone == own_zone()};
    m_peer_knows |= theirs.m_revision.known() && theirs.m_instances.known();
    const time_point answered = io::event_loop::now() - theirs.m_confirmed_age;
    m_shared.m_config.confirmed(theirs.order(), answered);
    m_store.confirmed(answered);
    const bool refused_before =
        theirs.m_revision == m_shared.m_config.refused_position();
    if (theirs.order() > m_shared.m_config.order() && !refused_before) {
        m_shared.m_newer_announced = true;
        m_delay.announced(from, io::event_loop::now());
        m_documents.announced(theirs.order(), source);
    }
    if (theirs.m_instances > m_shared.m_instances.m_index)
        m_lists.announced({0, theirs.m_instances}, source);
}

std::uint64_t configurator::own_zone() const {
    return hash(m_shared.m_settings.m_zone);
}

// A peer that is not known may be anywhere.
bool configurator::in_own_zone(const address& of) const {
    const auto& peers = m_shared.m_fleet.peers();
    return std::any_of(peers.begin(), peers.end(), [&](const auto& item) {
        const member_contact& contact = item.second.m_record.m_contact;
        return contact.m_control == of && contact.m_zone == own_zone();
    });
}

transfer_hooks configurator::document_hooks() {
    return {[this] { return document_request(); },
            [this](const io::fetch_answer& answer) {
                return take_peer_document(answer);
            },
            [this](const address& of) { return in_own_zone(of); },
            [this](const address& from, std::string_view cause) {
                note_failed_fetch("configuration", from, cause);
            }};
}

transfer_hooks configurator::list_hooks() {
    return {
        [this] {
            io::fetch_request out;
            out.m_path = "/peer/instances?after=" +
                         text_of(m_shared.m_instances.m_index);
            return out;
        },
        [this](const io::fetch_answer& answer) { return take_changes(answer); },
        [this](const address& of) { return in_own_zone(of); },
        [this](const address& from, std::string_view cause) {
            note_failed_fetch("instance list", from, cause);
        }};
}

// Names what this entry has, so that nothing is sent which it cannot use.
io::fetch_request configurator::document_request() {
    const config_order& order = m_shared.m_config.order();
    io::fetch_request out;
    out.m_path = "/peer/config";
    out.m_headers = {{"Accept-Encoding", "gzip"},
                     {"Entry-Control", m_shared.m_settings.m_control.text()}};
    if (!m_shared.m_config.ready())
        return out;
    out.m_headers.push_back({"If-None-Match", m_shared.m_packed.digest()});
    out.m_headers.push_back(
        {"Config-Version", std::to_string(order.m_version)});
    out.m_headers.push_back({"Config-Revision", text_of(order.m_position)});
    return out;
}

transfer_end configurator::take_peer_document(const io::fetch_answer& answer) {
    const store_position at = position_of(answer);
    if (!at.known())
        return transfer_end::failed;
    if (answer.m_status == io::status::not_modified) {
        // The same text may stand at a later position.
        if (answer.header_value("ETag") == m_shared.m_packed.digest())
            offer(at, std::string{m_shared.m_config.text()}, "peer");
        return transfer_end::unchanged;
    }
    if (answer.m_status != io::status::ok)
        return transfer_end::failed;
    const bool packed = answer.header_value("Content-Encoding") == "gzip";
    const auto text = packed ? peer::gunzip(answer.m_body, document_limit)
                             : parsed<std::string>{answer.m_body};
    if (!text) {
        m_shared.m_journal.note(event_kind::configuration, "a peer's document",
                                text.error().text());
        return transfer_end::failed;
    }
    const config_order before = m_shared.m_config.order();
    offer(at, text.value(), "peer");
    if (m_shared.m_config.order() == before)
        return transfer_end::unchanged;
    if (packed)
        m_shared.m_packed.set_packed(answer.m_body);
    return transfer_end::delivered;
}

transfer_end configurator::take_changes(const io::fetch_answer& answer) {
    const std::string& body = answer.m_body;
    const auto changes = peer::decode_changes(
        {reinterpret_cast<const std::uint8_t*>(body.data()), body.size()},
        io::event_loop::now());
    if (!changes) {
        m_shared.m_journal.note(event_kind::configuration,
                                "a peer's instance list",
                                changes.error().text());
        return transfer_end::failed;
    }
    // Without the base of the changes, the next request asks for others.
    const auto list = apply(m_shared.m_instances, changes.value());
    if (!list)
        return transfer_end::unchanged;
    const store_position before = m_shared.m_instances.m_index;
    offer_instances(*list, "peer");
    return m_shared.m_instances.m_index == before ? transfer_end::unchanged
                                                  : transfer_end::delivered;
}

} // namespace skylark::entry
