// Stand-in for an upstream.
#include "standin/upstream.hpp"
#include "io/http_status.hpp"

#include <algorithm>
#include <array>
#include <random>

#include <nlohmann/json.hpp>

namespace standin {

using namespace skylark;

namespace {

constexpr std::size_t piece_size = std::size_t{64} << 10U; // bytes
constexpr auto cancel_check = milliseconds{10};
constexpr auto late_by = seconds{2};

constexpr std::array<std::pair<std::string_view, upstream_mode>, 8> modes{{
    {"normal", upstream_mode::normal},
    {"drain", upstream_mode::drain},
    {"shed", upstream_mode::shed},
    {"fail_fast", upstream_mode::fail_fast},
    {"truncate", upstream_mode::truncate},
    {"late", upstream_mode::late},
    {"stuck", upstream_mode::stuck},
    {"lie", upstream_mode::lie},
}};

std::uint64_t wall_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

upstream::upstream(io::event_loop& loop, const upstream_shape& shape)
    : m_loop{loop}, m_server{loop, {std::size_t{1} << 20U, seconds{60}}},
      m_shape{shape}, m_random{shape.m_seed}, m_incarnation{wall_ms()} {
    if (!shape.m_ledger.empty())
        m_ledger.open(shape.m_ledger, std::ios::app);
    m_server.set_handlers(
        {[this](exchange_id key, const io::request_view& request) {
             serve(key, request);
         },
         [this](exchange_id key) { send_piece(key); },
         [this](exchange_id key, bool) { leave(key); }});
    if (shape.m_cold_ms > 0)
        turn_cold();
    m_loop.every(cancel_check, [this] { drop_abandoned(); });
    if (m_shape.m_slow_factor > 1.0)
        shift_speed();
}

parsed<address> upstream::listen(address where) {
    return m_server.listen(where);
}

void upstream::turn_cold() {
    ++m_incarnation;
    m_cold = true;
    m_cold_since = io::event_loop::now();
    m_warm_at = m_cold_since + milliseconds{m_shape.m_cold_ms};
}

std::uint32_t upstream::slots_now() const {
    return m_cold ? m_shape.m_cold_slots : m_shape.m_slots;
}

load_report upstream::report() const {
    load_report out;
    out.m_incarnation = m_incarnation;
    out.m_state = m_cold ? upstream_state::cold : upstream_state::warm;
    if (m_mode == upstream_mode::drain)
        out.m_state = upstream_state::draining;
    out.m_slots = slots_now();
    if (m_mode == upstream_mode::lie)
        return out;
    out.m_used = m_used;
    out.m_queue = static_cast<std::uint32_t>(m_queue.size());
    return out;
}

// Each speed lasts between 5 and 50 milliseconds.
void upstream::shift_speed() {
    std::uniform_int_distribution<std::int64_t> length{5000, 50000};
    std::bernoulli_distribution slow{m_shape.m_slow_share};
    m_slow = slow(m_random);
    m_loop.after(duration{length(m_random)}, [this] { shift_speed(); });
}

std::int64_t upstream::service_time(const job& of) {
    const std::int64_t mean =
        of.m_service_us > 0 ? of.m_service_us : m_shape.m_service_us;
    std::exponential_distribution<double> spread{1.0};
    const double factor = m_slow ? m_shape.m_slow_factor : 1.0;
    return static_cast<std::int64_t>(static_cast<double>(mean) * factor *
                                     spread(m_random));
}

void upstream::serve(exchange_id key, const io::request_view& request) {
    if (m_cold && io::event_loop::now() >= m_warm_at)
        m_cold = false;
    const query target{request.m_path};
    if (target.path() == "/admin")
        admin(key, target);
    else if (target.path() == "/stats")
        stats(key);
    else if (target.path() == "/load") {
        ++m_probes;
        const auto second = static_cast<std::int64_t>(wall_ms() / 1000);
        m_probe_count = second == m_probe_second ? m_probe_count + 1 : 1;
        m_probe_second = second;
        m_probe_max = std::max(m_probe_max, m_probe_count);
        m_server.answer(key, io::status::ok, {}, format_report(report()));
    } else if (!refused(key)) {
        enqueue(key, request);
    }
}

void upstream::admin(exchange_id key, const query& target) {
    for (const auto& [name, mode] : modes)
        if (target.text("mode") == name)
            m_mode = mode;
    if (target.has("cold_ms")) {
        m_shape.m_cold_ms = target.number("cold_ms", 0);
        m_cold_max = 0;
        m_cold_over = 0;
        turn_cold();
    }
    if (target.has("reset")) {
        m_cold_max = 0;
        m_cold_over = 0;
    }
    m_shape.m_service_us = target.number("service_us", m_shape.m_service_us);
    m_server.answer(key, io::status::ok, {}, "");
}

void upstream::stats(exchange_id key) {
    const auto idle = io::event_loop::now() - m_last_request;
    const nlohmann::json out{
        {"served", m_served},     {"requests", m_requests},
        {"probes", m_probes},     {"probe_max", m_probe_max},
        {"cold_max", m_cold_max}, {"cold_over", m_cold_over},
        {"bulk_max", m_bulk_max}, {"idle_ms", to_ms(idle)},
        {"cold", m_cold},         {"hand", m_jobs.size()}};
    m_server.answer(key, io::status::ok, {}, out.dump());
}

void upstream::refuse(exchange_id key, const std::string& why) {
    const std::array headers{
        io::header{"Upstream-Refused", why},
        io::header{"Upstream-Load", format_report(report())}};
    m_server.answer(key, io::status::unavailable, headers, why);
}

bool upstream::refused(exchange_id key) {
    ++m_requests;
    m_last_request = io::event_loop::now();
    if (m_mode == upstream_mode::drain) {
        refuse(key, "draining");
    } else if (m_mode == upstream_mode::shed ||
               m_queue.size() >= m_shape.m_queue_limit) {
        refuse(key, "shed");
    } else if (m_mode == upstream_mode::fail_fast) {
        m_server.answer(key, io::status::internal_server_error, {}, "failed");
    } else {
        return false;
    }
    return true;
}

void upstream::enqueue(exchange_id key, const io::request_view& request) {
    const query target{request.m_path};
    job added;
    added.m_key = io::find_header(request.m_headers, "idempotency-key");
    added.m_target = target.path();
    constexpr std::int64_t default_size = 1024;
    added.m_size =
        static_cast<std::size_t>(target.number("size", default_size));
    added.m_chunked = target.has("chunked");
    added.m_head = request.m_method == "HEAD";
    added.m_service_us = target.number("us", 0);
    constexpr std::int64_t far_ms = 60'000;
    query timeout{"?ms=" + std::string{io::find_header(request.m_headers,
                                                       "request-timeout-ms")}};
    added.m_expires =
        io::event_loop::now() + milliseconds{timeout.number("ms", far_ms)};
    m_jobs.emplace(key, std::move(added));
    m_queue.push_back(key);
    std::uint64_t bulk = 0;
    for (const auto& [id, item] : m_jobs)
        bulk += item.m_target.starts_with("/plans") ? 1 : 0;
    m_bulk_max = std::max(m_bulk_max, bulk);
    note_cold_load();
    run_next();
}

void upstream::note_cold_load() {
    if (!m_cold)
        return;
    m_cold_max = std::max<std::uint64_t>(m_cold_max, m_jobs.size());
    if (m_jobs.size() > m_shape.m_cold_slots)
        ++m_cold_over;
}

void upstream::run_next() {
    while (m_used < slots_now() && !m_queue.empty()) {
        const exchange_id key = m_queue.front();
        m_queue.pop_front();
        if (io::event_loop::now() >= m_jobs[key].m_expires) {
            m_jobs.erase(key);
            refuse(key, "expired");
            continue;
        }
        run(key);
    }
}

void upstream::run(exchange_id key) {
    job& item = m_jobs[key];
    item.m_running = true;
    ++m_used;
    if (m_ledger.is_open() && !item.m_key.empty())
        m_ledger << item.m_key << std::endl;
    if (m_mode == upstream_mode::stuck)
        return;
    duration takes{service_time(item)};
    if (m_mode == upstream_mode::late)
        takes += late_by;
    item.m_timer = m_loop.after(takes, [this, key] { finish(key); });
}

void upstream::finish(exchange_id key) {
    const auto found = m_jobs.find(key);
    if (found == m_jobs.end())
        return;
    ++m_served;
    job& item = found->second;
    const std::array headers{
        io::header{"Upstream-Load", format_report(report())},
        io::header{"Request-Key", item.m_key},
        io::header{"Content-Type", "text/plain"}};
    item.m_left = item.m_size;
    std::optional<std::uint64_t> length;
    if (!item.m_chunked)
        length = item.m_size;
    m_server.start(key, io::status::ok, headers, length);
    send_piece(key);
}

void upstream::send_piece(exchange_id key) {
    const auto found = m_jobs.find(key);
    if (found == m_jobs.end() || !found->second.m_running)
        return;
    job& item = found->second;
    const bool halfway = item.m_left <= item.m_size / 2;
    if (m_mode == upstream_mode::truncate && halfway) {
        m_server.abort(key);
        return;
    }
    std::size_t size = std::min(item.m_left, piece_size);
    if (m_mode == upstream_mode::truncate)
        size = std::min(size, std::max<std::size_t>(1, item.m_size / 2));
    item.m_left -= size;
    const bool last = item.m_left == 0;
    m_server.send(key, std::string(size, 'x'), last);
}

void upstream::leave(exchange_id key) {
    const auto found = m_jobs.find(key);
    if (found == m_jobs.end())
        return;
    if (found->second.m_running)
        --m_used;
    else
        std::erase(m_queue, key);
    m_loop.cancel(found->second.m_timer);
    m_jobs.erase(found);
    run_next();
}

// Ends the work of callers that have closed their side.
void upstream::drop_abandoned() {
    std::vector<exchange_id> gone;
    for (const auto& [key, item] : m_jobs)
        if (m_server.caller_disconnected(key))
            gone.push_back(key);
    for (const exchange_id key : gone) {
        leave(key);
        m_server.answer(key, io::status::unavailable, {}, "");
    }
}

} // namespace standin
