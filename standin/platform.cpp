// Stand-in for the platform.
#include "standin/platform.hpp"
#include "io/http_status.hpp"

#include <algorithm>
#include <array>

namespace standin {

using namespace skylark;

namespace {
const std::string catalogue = "/v1/catalog/service/skylark";
constexpr std::string_view kv_prefix = "/v1/kv/";
constexpr std::string_view deregister_prefix = "/v1/agent/service/deregister/";
constexpr std::size_t largest_value = std::size_t{1} << 20U;
} // namespace

platform::platform(io::event_loop& loop)
    : m_loop{loop}, m_server{loop, {2 * largest_value, seconds{600}}} {
    m_server.set_handlers(
        {[this](exchange_id key, const io::request_view& request) {
             serve(key, request);
         },
         {},
         {}});
    store_catalogue();
}

parsed<address> platform::listen(address where) {
    return m_server.listen(where);
}

void platform::preload(const std::string& key, const std::string& text) {
    store(std::string{kv_prefix} + key, text);
}

void platform::serve(exchange_id key, const io::request_view& request) {
    ++m_calls;
    const std::string method{request.m_method};
    const query target{request.m_path};
    const std::string body{request.m_body};
    if (target.path() == "/fault") {
        set_faults(target);
        reply(key, io::status::ok, "", m_index);
        return;
    }
    if (m_faults.m_down)
        return; // the caller runs into its own timeout
    if (m_faults.m_delay_ms == 0) {
        route(key, method, target, body);
        return;
    }
    m_loop.after(milliseconds{m_faults.m_delay_ms},
                 [=, this] { route(key, method, target, body); });
}

void platform::route(exchange_id key, const std::string& method,
                     const query& target, const std::string& body) {
    const std::string& path = target.path();
    if (path == "/stats") {
        const nlohmann::json out{
            {"calls", m_calls}, {"writes", m_writes}, {"index", m_index}};
        reply(key, io::status::ok, out.dump(), m_index);
    } else if (path == "/v1/agent/service/register") {
        register_instance(body);
        reply(key, io::status::ok, "", m_index);
    } else if (path.starts_with(deregister_prefix)) {
        deregister_instance(path.substr(deregister_prefix.size()));
        reply(key, io::status::ok, "", m_index);
    } else if (path == catalogue ||
               (method == "GET" && path.starts_with(kv_prefix))) {
        read(key, path, target);
    } else if (method == "PUT" && path.starts_with(kv_prefix)) {
        swap(key, path, target, body);
    } else {
        reply(key, io::status::not_found, "no such path", m_index);
    }
}

void platform::read(exchange_id key, const std::string& topic,
                    const query& target) {
    const auto index = static_cast<std::uint64_t>(target.number("index", 0));
    const auto found = m_values.find(topic);
    const std::uint64_t present =
        found == m_values.end() ? 0 : found->second.m_revision;
    if (index == 0 || present > index || m_faults.m_old) {
        answer_read(key, topic);
        return;
    }
    constexpr std::int64_t default_wait_ms = 300'000;
    const milliseconds wait{target.number("wait", default_wait_ms)};
    const timer_id timer = m_loop.after(wait, [this, key, topic] {
        std::erase_if(m_waiting, [&](const waiting& item) {
            return item.m_exchange == key;
        });
        answer_read(key, topic);
    });
    m_waiting.push_back({key, topic, index, timer});
}

void platform::answer_read(exchange_id key, const std::string& topic) {
    if (m_faults.m_down)
        return;
    const auto& source = m_faults.m_old ? m_first : m_values;
    const auto found = source.find(topic);
    if (found == source.end())
        reply(key, io::status::not_found, "",
              std::max<std::uint64_t>(1, m_index));
    else
        reply(key, io::status::ok, found->second.m_text,
              found->second.m_revision);
}

void platform::swap(exchange_id key, const std::string& topic,
                    const query& target, const std::string& body) {
    if (body.size() > largest_value) {
        reply(key, io::status::content_too_large, "value above 1 MB", m_index);
        return;
    }
    const auto compared = static_cast<std::uint64_t>(target.number("cas", 0));
    const auto found = m_values.find(topic);
    const std::uint64_t present =
        found == m_values.end() ? 0 : found->second.m_revision;
    if (present != compared) {
        reply(key, io::status::ok, "false", m_index);
        return;
    }
    ++m_writes;
    store(topic, body);
    if (m_faults.m_lose_writes > 0) {
        --m_faults.m_lose_writes;
        return; // took effect, answer lost
    }
    reply(key, io::status::ok, "true", m_index);
}

void platform::register_instance(const std::string& body) {
    const auto from = nlohmann::json::parse(body);
    m_instances[from.at("ID")] = {{"ServiceID", from.at("ID")},
                                  {"ServiceAddress", from.at("Address")},
                                  {"ServicePort", from.at("Port")},
                                  {"ServiceMeta", from.at("Meta")}};
    store_catalogue();
}

void platform::deregister_instance(const std::string& id) {
    m_instances.erase(id);
    store_catalogue();
}

void platform::store_catalogue() {
    auto out = nlohmann::json::array();
    for (const auto& [id, item] : m_instances)
        out.push_back(item);
    store(catalogue, out.dump());
}

void platform::set_faults(const query& target) {
    m_faults.m_delay_ms = target.number("delay_ms", 0);
    m_faults.m_down = target.has("down");
    m_faults.m_lose_writes = target.number("lose_writes", 0);
    m_faults.m_old = target.has("old");
    if (target.has("forget_instances")) {
        m_instances.clear();
        store_catalogue();
    }
    if (m_faults.m_old) {
        const auto waiting_now = std::exchange(m_waiting, {});
        for (const waiting& item : waiting_now) {
            m_loop.cancel(item.m_timer);
            answer_read(item.m_exchange, item.m_topic);
        }
    }
}

void platform::store(const std::string& topic, std::string text) {
    const value stored{++m_index, std::move(text)};
    m_values[topic] = stored;
    m_first.try_emplace(topic, stored);
    wake(topic);
}

void platform::wake(const std::string& topic) {
    std::vector<waiting> rest;
    for (const waiting& item : std::exchange(m_waiting, {})) {
        if (item.m_topic != topic) {
            rest.push_back(item);
            continue;
        }
        m_loop.cancel(item.m_timer);
        answer_read(item.m_exchange, item.m_topic);
    }
    m_waiting.insert(m_waiting.end(), rest.begin(), rest.end());
}

void platform::reply(exchange_id key, int status, const std::string& body,
                     std::uint64_t index) {
    const std::array headers{
        io::header{"X-Consul-Index", std::to_string(index)}};
    m_server.answer(key, status, headers, body);
}

} // namespace standin
