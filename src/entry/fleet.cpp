// Membership and shares of this entry: the protocol on its UDP socket.
#include "entry/fleet.hpp"

#include <algorithm>
#include <utility>

#include <skylark/core/hash.hpp>

#include "core/overloaded.hpp"
#include "peer/codec.hpp"

namespace skylark::entry {

namespace {

// A waiting watch counts as a call to the store, so few entries watch.
constexpr std::size_t watchers_per_zone = 1;
constexpr double percent = 100.0;
// Without another zone to stand in, one watcher more.
constexpr std::size_t watchers_of_single_zone = 2;

member_record record_of(const settings& from) {
    member_record out;
    out.m_name = {id_of(from.m_name), journal::wall_ms()};
    out.m_contact = {from.m_peer, from.m_callers, from.m_control,
                     hash(from.m_zone),
                     static_cast<std::uint32_t>(from.m_cores * percent)};
    return out;
}

std::string_view word_for(member_change::kind kind) {
    switch (kind) {
    case member_change::kind::joined:
        return "joined";
    case member_change::kind::left:
        return "left";
    case member_change::kind::gone:
        return "gone";
    case member_change::kind::replaced:
        return "new incarnation";
    case member_change::kind::lapsed:
        break;
    }
    return "majority lost, shares dropped";
}

using members = std::variant<agreement, roster>;

members members_of(const settings& from) {
    const member_record self = record_of(from);
    if (from.m_deployment == deployment::platform)
        return members{std::in_place_type<roster>, self, from.m_seeds,
                       roster_timing{from.m_timing.m_period}};
    return members{std::in_place_type<agreement>, self, from,
                   io::event_loop::now()};
}

// The table of either alternative, for what both have.
template <class Of>
auto& table_of(Of& of) {
    if constexpr (std::is_same_v<std::remove_const_t<Of>, agreement>)
        return of.m_members;
    else
        return of;
}

} // namespace

entry_id id_of(std::string_view name) {
    return entry_id{hash(name)};
}

fleet::fleet(io::event_loop& loop, const settings& from, journal& events,
             metrics& counts)
    : m_loop{loop}, m_settings{from}, m_events{events}, m_counts{counts},
      m_socket{loop}, m_members{members_of(from)} {}

parsed<void> fleet::start(fleet_hooks hooks) {
    m_hooks = std::move(hooks);
    BOOST_OUTCOME_TRYV(
        m_socket.bind(m_settings.m_peer,
                      [this](const io::datagram& item) { receive(item); }));
    beat();
    m_loop.every(m_settings.m_timing.m_period, [this] { beat(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::vector<outgoing_heartbeat> fleet::round(time_point now) {
    const config_mark mark = m_hooks.m_mark();
    return std::visit(
        overloaded{[&](agreement& of) {
                       auto out =
                           of.m_members.tick(now, m_hooks.m_settled(), mark);
                       follow_view();
                       const auto loads = m_hooks.m_digests();
                       for (outgoing_heartbeat& item : out)
                           item.m_message.m_loads = loads;
                       return out;
                   },
                   [&](roster& of) { return of.tick(now, mark); }},
        m_members);
}

void fleet::beat() {
    auto out = round(io::event_loop::now());
    note_changes();
    for (outgoing_heartbeat& item : out) {
        if (m_hooks.m_add_exposures)
            m_hooks.m_add_exposures(item);
        send(std::move(item));
    }
}

void fleet::announce_config() {
    if (auto* of = std::get_if<roster>(&m_members))
        send(of->change_announcement(m_hooks.m_mark(), io::event_loop::now()));
}

void fleet::send(outgoing_heartbeat item) {
    item.m_message.m_clock = m_events.stamp();
    const auto bytes = peer::encode(item.m_message);
    for (const address& to : item.m_to)
        m_socket.send(to, bytes);
    m_counts.count(counter::heartbeats_sent, item.m_to.size());
    m_counts.count(counter::heartbeat_bytes_sent,
                   bytes.size() * item.m_to.size());
}

void fleet::receive(const io::datagram& item) {
    if (receive_tokens(item.m_bytes))
        return;
    const auto message = peer::decode(item.m_bytes);
    if (!message) {
        m_counts.count(counter::bad_datagrams);
        return;
    }
    m_counts.count(counter::heartbeats_received);
    m_counts.count(counter::heartbeat_bytes_received, item.m_bytes.size());
    m_events.seen(message.value().m_clock);
    const time_point now = io::event_loop::now();
    std::visit(overloaded{[&](agreement& of) {
                              of.m_members.received(message.value(), now);
                          },
                          [&](roster& of) {
                              of.received(message.value(),
                                          item.m_arrived.value_or(now), now);
                          }},
               m_members);
    if (auto* of = std::get_if<roster>(&m_members))
        if (const auto out =
                of->config_announcement(message.value(), m_hooks.m_mark()))
            send(*out);
    follow_view();
    for (const load_digest& digest : message.value().m_loads)
        m_hooks.m_digest(digest);
    if (m_hooks.m_exposures)
        m_hooks.m_exposures(message.value());
    const auto found = peers().find(message.value().m_sender.m_name.m_id);
    if (found != peers().end())
        m_hooks.m_peer_mark(found->second);
}

// Keeps the share table in step with the member table.
void fleet::follow_view() {
    note_changes();
    auto* of = std::get_if<agreement>(&m_members);
    if (!of)
        return;
    const time_point now = io::event_loop::now();
    if (of->m_seen_epoch != of->m_members.epoch()) {
        of->m_seen_epoch = of->m_members.epoch();
        of->m_shares.view_changed(of->m_members.view());
    }
    const bool agreed = !m_leaving && of->m_members.agreed(now);
    if (agreed)
        of->m_shares.view_agreed();
    if (agreed == of->m_agreed)
        return;
    of->m_agreed = agreed;
    m_events.note(event_kind::share,
                  "view of " + std::to_string(of->m_members.view().size()),
                  agreed ? "agreed" : "not agreed");
    m_hooks.m_changed();
}

void fleet::note_changes() {
    const auto changes = std::visit(
        overloaded{[](agreement& of) {
                       auto out = of.m_members.take_changes();
                       for (const member_change& item : out)
                           if (item.m_kind == member_change::kind::lapsed)
                               of.m_shares.revoke_all();
                       return out;
                   },
                   [](roster& of) { return of.take_changes(); }},
        m_members);
    for (const member_change& change : changes)
        m_events.note(event_kind::member,
                      std::to_string(change.m_name.m_id.value()),
                      std::string{word_for(change.m_kind)});
}

std::uint32_t fleet::usable(upstream_id upstream, share_kind kind,
                            std::uint32_t slots) const {
    const auto* of = std::get_if<agreement>(&m_members);
    if (!of || m_leaving || !of->m_members.has_majority(io::event_loop::now()))
        return 0;
    return of->m_shares.usable(upstream, kind, slots);
}

std::optional<entry_id> fleet::owner(upstream_id upstream, share_kind kind,
                                     std::uint32_t slot) const {
    const auto* of = std::get_if<agreement>(&m_members);
    if (!of)
        return std::nullopt;
    return of->m_shares.owner(upstream, kind, slot);
}

bool fleet::has_majority() const {
    const auto* of = std::get_if<agreement>(&m_members);
    return !of || of->m_members.has_majority(io::event_loop::now());
}

bool fleet::is_watcher(time_point now) const {
    const auto first = std::visit(
        overloaded{
            [&](const agreement& of) {
                return of.m_members.own_zone_watchers(watchers_per_zone, now);
            },
            [&](const roster& of) {
                return of.watchers_of(self_record().m_contact.m_zone,
                                      of.single_zone() ? watchers_of_single_zone
                                                       : watchers_per_zone,
                                      now);
            }},
        m_members);
    return std::find(first.begin(), first.end(), self()) != first.end();
}

std::size_t fleet::size() const {
    return std::visit(
        overloaded{
            [](const agreement& of) { return of.m_members.view().size(); },
            [](const roster& of) { return of.live_count(); }},
        m_members);
}

void fleet::paused(duration gap) {
    const time_point now = io::event_loop::now();
    m_socket.paused(now - gap);
    std::visit([gap, now](auto& of) { table_of(of).paused(gap, now); },
               m_members);
    follow_view();
}

void fleet::leave() {
    m_leaving = true;
    std::visit([](auto& of) { table_of(of).leave(); }, m_members);
    beat();
}

const std::map<entry_id, member>& fleet::peers() const {
    return std::visit(
        [](const auto& of) -> const auto& { return table_of(of).peers(); },
        m_members);
}

const member_record& fleet::self_record() const {
    return std::visit(
        [](const auto& of) -> const auto& { return table_of(of).self(); },
        m_members);
}

member_state fleet::state() const {
    return std::visit([](const auto& of) { return table_of(of).state(); },
                      m_members);
}

std::uint32_t fleet::requests() const {
    return std::visit([](const auto& of) { return table_of(of).requests(); },
                      m_members);
}

void fleet::add_seeds(std::span<const address> seeds) {
    std::visit([seeds](auto& of) { table_of(of).add_seeds(seeds); }, m_members);
}

void fleet::set_listed(std::span<const address> listed) {
    std::visit([listed](auto& of) { table_of(of).set_listed(listed); },
               m_members);
}

void fleet::set_requests(std::uint32_t count) {
    std::visit([count](auto& of) { table_of(of).set_requests(count); },
               m_members);
}

} // namespace skylark::entry
