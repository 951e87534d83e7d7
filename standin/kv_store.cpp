// Stand-in for the metadata store of the users' platform.
#include "standin/kv_store.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "io/http_status.hpp"
#include "standin/query.hpp"
#include "store/base64.hpp"

namespace standin {

using nlohmann::json;
using skylark::milliseconds;
namespace io = skylark::io;

namespace {

constexpr auto tick = milliseconds{5};
constexpr std::size_t largest_body = std::size_t{4} << 20U;
constexpr int failed_condition = 412;
constexpr int over_limit = 429;
constexpr int forbidden = 403;

std::uint64_t number(std::string_view text) {
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

kv_store::kv_store(io::event_loop& loop)
    : m_loop{loop}, m_server{loop, {largest_body, skylark::seconds{60}}} {
    m_server.set_handlers(
        {[this](exchange_id key, const io::request_view& request) {
             serve(key, request);
         },
         {},
         [this](exchange_id key, bool) { m_watchers.erase(key); }});
    loop.every(tick, [this] {
        expire();
        answer_watchers();
    });
}

void kv_store::put(const std::string& key, const std::string& value) {
    ++m_revision;
    write(key, skylark::store::encode_base64(value), 0);
    answer_watchers();
}

void kv_store::erase(const std::string& key) {
    const auto found = m_items.find(key);
    if (found == m_items.end())
        return;
    item last = found->second;
    last.m_revision = ++m_revision;
    m_history.push_back({key, last, true});
    m_items.erase(found);
    answer_watchers();
}

bool kv_store::holds(const std::string& key, const std::string& value) const {
    const auto found = m_items.find(key);
    return found != m_items.end() &&
           found->second.m_value == skylark::store::encode_base64(value);
}

std::vector<std::string> kv_store::keys(std::string_view prefix) const {
    std::vector<std::string> out;
    for (const auto& [key, one] : m_items)
        if (key.starts_with(prefix))
            out.push_back(key);
    return out;
}

void kv_store::write(const std::string& key, const std::string& value,
                     std::uint64_t lease) {
    item& kept = m_items[key];
    if (kept.m_created == 0)
        kept.m_created = m_revision;
    kept.m_value = value;
    kept.m_revision = m_revision;
    kept.m_lease = lease;
    m_history.push_back({key, kept, false});
}

void kv_store::serve(exchange_id key, const io::request_view& request) {
    ++m_calls;
    if (m_faults.m_silent)
        return;
    if (m_faults.m_refusing || m_faults.m_limiting) {
        reply(key, m_faults.m_refusing ? io::status::unavailable : over_limit,
              json::object());
        return;
    }
    const std::string method{request.m_method};
    const std::string path{request.m_path};
    const std::string body{request.m_body};
    if (m_faults.m_delay == duration{0}) {
        route(key, method, path, body);
        return;
    }
    m_loop.after(m_faults.m_delay, [this, key, method, path, body] {
        route(key, method, path, body);
    });
}

void kv_store::route(exchange_id key, std::string_view method,
                     std::string_view path, const std::string& body) {
    const auto name = path.substr(0, path.find('?'));
    const auto last = name.substr(name.rfind('/') + 1);
    if (method == "GET" && name == "/kv-range")
        range(key, path);
    else if (method == "GET" && name == "/kv-watch")
        watch(key, path);
    else if (method == "POST" && name == "/kv-txn")
        transact(key, body);
    else if (method == "POST" && name == "/kv-lease")
        grant(key, body);
    else if (method == "POST" && name.starts_with("/kv-keep/"))
        renew(key, number(last));
    else if (method == "DELETE" && name.starts_with("/kv-lease-end/")) {
        end_lease(number(last));
        reply(key, io::status::ok, json::object());
    } else
        reply(key, io::status::not_found, json::object());
}

void kv_store::reply(exchange_id key, int status, const json& body) {
    if (m_faults.m_losing)
        return;
    const std::string era = std::to_string(m_era);
    const std::array headers{io::header{"Content-Type", "application/json"},
                             io::header{"Store-Era", era}};
    m_server.answer(key, status, headers, body.dump());
}

void kv_store::range(exchange_id key, std::string_view path) {
    const std::string prefix = query{path}.text("prefix");
    const std::string after = query{path}.text("after");
    json items = json::array();
    bool more = false;
    for (auto it = m_items.lower_bound(prefix);
         it != m_items.end() && it->first.starts_with(prefix); ++it) {
        if (!after.empty() && it->first <= after)
            continue;
        if (items.size() == m_faults.m_page_size) {
            more = true;
            break;
        }
        items.push_back({{"key", it->first},
                         {"value", it->second.m_value},
                         {"revision", it->second.m_revision},
                         {"created_rev", it->second.m_created},
                         {"lease", it->second.m_lease}});
    }
    reply(key, io::status::ok,
          {{"items", items}, {"truncated", more}, {"current_rev", m_revision}});
}

void kv_store::watch(exchange_id key, std::string_view path) {
    const std::uint64_t after = number(query{path}.text("after"));
    if (after < m_history_from || after > m_revision) {
        reply(key, io::status::gone, json::object());
        return;
    }
    const milliseconds wait{number(query{path}.text("wait_ms"))};
    m_watchers[key] = {query{path}.text("prefix"), after,
                       io::event_loop::now() + wait};
    answer_watchers();
}

json kv_store::changes_after(std::string_view prefix,
                             std::uint64_t after) const {
    json out = json::array();
    for (const change& one : m_history) {
        if (one.m_item.m_revision <= after || !one.m_key.starts_with(prefix))
            continue;
        json event{{"key", one.m_key}, {"revision", one.m_item.m_revision}};
        if (one.m_deleted) {
            event["deleted"] = true;
        } else {
            event["value"] = one.m_item.m_value;
            event["created_rev"] = one.m_item.m_created;
            event["lease"] = one.m_item.m_lease;
        }
        out.push_back(std::move(event));
    }
    return out;
}

void kv_store::answer_watchers() {
    const auto now = io::event_loop::now();
    std::vector<std::pair<exchange_id, json>> ready;
    for (const auto& [key, waiting] : m_watchers) {
        json events = changes_after(waiting.m_prefix, waiting.m_after);
        if (!events.empty() || now >= waiting.m_due)
            ready.emplace_back(key, std::move(events));
    }
    for (auto& [key, events] : ready) {
        m_watchers.erase(key);
        reply(key, io::status::ok,
              {{"events", std::move(events)}, {"current_rev", m_revision}});
    }
}

bool kv_store::conditions_hold(const json& call) const {
    const auto holds = [this](const json& row) {
        const auto found = m_items.find(row.at("key").get<std::string>());
        const std::uint64_t present =
            found == m_items.end() ? 0 : found->second.m_revision;
        return present == row.at("revision").get<std::uint64_t>();
    };
    const json rows = call.value("expected_rev", json::array());
    return std::all_of(rows.begin(), rows.end(), holds);
}

void kv_store::transact(exchange_id key, const std::string& body) {
    const json call = json::parse(body, nullptr, false);
    if (call.is_discarded()) {
        reply(key, io::status::bad_request, json::object());
        return;
    }
    if (!conditions_hold(call)) {
        reply(key, failed_condition, {{"items", json::array()}});
        return;
    }
    for (const json& one : call.value("writes", json::array())) {
        const auto name = one.at("key").get<std::string>();
        const std::uint64_t lease = one.value("lease", std::uint64_t{0});
        const bool others =
            name.starts_with("op/") || name.starts_with("servers/");
        if (others || (lease != 0 && !m_leases.contains(lease))) {
            reply(key, others ? forbidden : io::status::not_found,
                  json::object());
            return;
        }
    }
    ++m_revision;
    for (const json& one : call.value("writes", json::array()))
        write(one.at("key").get<std::string>(),
              one.at("value").get<std::string>(),
              one.value("lease", std::uint64_t{0}));
    for (const json& one : call.value("deletes", json::array()))
        erase(one.get<std::string>());
    reply(key, io::status::ok, {{"revision", m_revision}});
    answer_watchers();
}

void kv_store::grant(exchange_id key, const std::string& body) {
    const json call = json::parse(body, nullptr, false);
    const milliseconds life{call.value("ttl_ms", 0)};
    m_leases[++m_last_lease] = {life, io::event_loop::now() + life};
    reply(key, io::status::ok,
          {{"lease", m_last_lease}, {"ttl_ms", life.count()}});
}

void kv_store::renew(exchange_id key, std::uint64_t lease) {
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        reply(key, io::status::not_found, json::object());
        return;
    }
    found->second.m_end = io::event_loop::now() + found->second.m_life;
    reply(key, io::status::ok,
          {{"ttl_ms", skylark::to_ms(found->second.m_life)}});
}

void kv_store::end_lease(std::uint64_t lease) {
    m_leases.erase(lease);
    std::vector<std::string> gone;
    for (const auto& [key, one] : m_items)
        if (one.m_lease == lease)
            gone.push_back(key);
    for (const std::string& key : gone)
        erase(key);
}

void kv_store::expire() {
    const auto now = io::event_loop::now();
    std::vector<std::uint64_t> over;
    for (const auto& [id, one] : m_leases)
        if (one.m_end <= now)
            over.push_back(id);
    for (const std::uint64_t id : over)
        end_lease(id);
}

} // namespace standin
