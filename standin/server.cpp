// Stand-in for a server of the users' platform.
#include "standin/server.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "io/http_status.hpp"

namespace standin {

using namespace skylark;

namespace {

constexpr auto abandon_check = milliseconds{10};
constexpr std::size_t largest_body = std::size_t{8} << 20U;
constexpr std::int64_t no_deadline_ms = 60'000;
constexpr int ms_in_s = 1000;

std::int64_t read_number(std::string_view text, std::int64_t otherwise) {
    std::from_chars(text.data(), text.data() + text.size(), otherwise);
    return otherwise;
}

std::string seconds_text(duration time) {
    const std::int64_t ms = std::max<std::int64_t>(1, to_ms(time));
    std::string part = std::to_string(ms % ms_in_s);
    part.insert(0, 3 - part.size(), '0');
    return std::to_string(ms / ms_in_s) + '.' + part;
}

} // namespace

server::server(io::event_loop& loop, const server_shape& shape)
    : m_loop{loop}, m_server{loop, {largest_body, shape.m_idle}},
      m_shape{shape}, m_random{shape.m_seed}, m_endless{~shape.m_seed},
      m_writer{loop, ~shape.m_seed,
               [this](exchange_id key, std::uint64_t bytes) {
                   end_endless(key, bytes);
               }},
      m_ledger{shape.m_ledger} {
    m_server.set_handlers(
        {[this](exchange_id key, const io::request_view& request) {
             serve(key, request);
         },
         [this](exchange_id key) { break_off(key); },
         [this](exchange_id key, bool complete) { release(key, complete); }});
    loop.every(abandon_check, [this] { drop_abandoned(); });
    if (shape.m_strain.m_slow_share > 0)
        loop.every(shape.m_strain.m_phase,
                   [this] { m_phase = m_shape.m_strain.draw_phase(m_random); });
}

void server::leave() {
    m_leaving = true;
    m_server.close_after_answer();
    m_ledger.add("leaving", "-");
}

void server::rest(duration time) {
    m_rests_until = io::event_loop::now() + time;
    m_ledger.add("rests", "-", "ms=" + std::to_string(to_ms(time)));
}

void server::answer_without_end(std::int64_t percent, bool checks) {
    m_endless.set(percent, checks);
    m_ledger.add("faulty", "-",
                 "percent=" + std::to_string(percent) +
                     " checks=" + std::to_string(static_cast<int>(checks)));
}

void server::serve(exchange_id key, const io::request_view& request) {
    const query target{request.m_path};
    if (target.path().starts_with("/standin/")) {
        m_admin(target, [this, key](int status) {
            m_server.answer(key, status, {}, "");
        });
    } else if (target.path() == m_shape.m_health_path) {
        serve_health(key);
    } else {
        accept(key, request);
    }
}

void server::serve_health(exchange_id key) {
    if (check_endlessly(key))
        return;
    auto headers = answer_headers({});
    headers.push_back({"Instance-Id", m_shape.m_instance});
    m_server.answer(key, m_draining ? io::status::unavailable : io::status::ok,
                    headers, "");
}

void server::accept(exchange_id key, const io::request_view& request) {
    const std::string id{io::find_header(request.m_headers, "Request-Id")};
    m_ledger.add("arrived", id);
    const auto expected =
        io::find_header(request.m_headers, "Expected-Instance");
    if (id.empty() || (!expected.empty() && expected != m_shape.m_instance)) {
        m_ledger.add("misdirected", id);
        auto headers = answer_headers(id);
        headers.push_back({"Not-Executed", "1"});
        m_server.answer(
            key, id.empty() ? io::status::bad_request : io::status::misdirected,
            headers, "");
        return;
    }
    const bool full =
        m_running >= m_shape.m_slots && m_queue.size() >= m_shape.m_queue_limit;
    if (full && m_shape.m_hangs) {
        hang(key, id);
        return;
    }
    if (full || io::event_loop::now() < m_rests_until) {
        refuse(key, id);
        return;
    }
    job added;
    added.m_id = id;
    added.m_target = request.m_path;
    added.m_expires =
        io::event_loop::now() +
        milliseconds{read_number(
            io::find_header(request.m_headers, "Deadline-Ms"), no_deadline_ms)};
    m_jobs.emplace(key, std::move(added));
    m_queue.push_back(key);
    run_next();
}

void server::refuse(exchange_id key, std::string_view id) {
    auto headers = answer_headers(id);
    headers.push_back({"Not-Executed", "1"});
    std::string detail{m_leaving ? "leaving=1" : ""};
    const duration left = m_rests_until - io::event_loop::now();
    if (left > duration{0}) {
        headers.push_back({"Retry-After", seconds_text(left)});
        detail += (detail.empty() ? "retry_after_ms=" : " retry_after_ms=") +
                  std::to_string(to_ms(left));
    }
    m_ledger.add("refused", id, detail);
    m_server.answer(key, io::status::unavailable, headers, "");
}

// A connection serves one request at a time, so nothing behind this one is
// answered either.
void server::hang(exchange_id key, std::string_view id) {
    m_ledger.add("hung", id);
    m_hung.push_back(key);
}

void server::run_next() {
    while (m_running < m_shape.m_slots && !m_queue.empty()) {
        const exchange_id key = m_queue.front();
        m_queue.pop_front();
        job& item = m_jobs[key];
        if (io::event_loop::now() < item.m_expires) {
            run(key, item);
            continue;
        }
        const std::string id = item.m_id;
        m_jobs.erase(key);
        refuse(key, id);
    }
}

void server::run(exchange_id key, job& item) {
    item.m_running = true;
    ++m_running;
    m_ledger.add("run", item.m_id);
    const double factor =
        m_phase * m_shape.m_strain.by_use(m_running, m_shape.m_slots);
    const duration takes{std::llround(
        factor * static_cast<double>(draw(m_shape.m_times, m_random).count()))};
    const duration left = item.m_expires - io::event_loop::now();
    const bool in_time = takes < left;
    const int status = in_time ? io::status::ok : io::status::gateway_timeout;
    item.m_timer = m_loop.after(std::min(takes, left),
                                [this, key, status] { finish(key, status); });
}

// Called once the exchange is over, whoever ended it.
void server::release(exchange_id key, bool complete) {
    m_writer.drop(key);
    const auto found = m_jobs.find(key);
    if (found == m_jobs.end())
        return;
    const job item = std::move(found->second);
    m_jobs.erase(found);
    m_loop.cancel(item.m_timer);
    if (item.m_running)
        --m_running;
    else
        std::erase(m_queue, key);
    if (!complete)
        m_ledger.add(item.m_answered ? "cut" : "dropped", item.m_id);
    run_next();
}

void server::drop_abandoned() {
    std::erase_if(m_hung, [this](exchange_id key) {
        const bool left = m_server.caller_disconnected(key);
        if (left)
            m_server.answer(key, io::status::unavailable, {}, "");
        return left;
    });
    std::vector<exchange_id> gone;
    for (const auto& [key, item] : m_jobs)
        if (!item.m_answered && m_server.caller_disconnected(key))
            gone.push_back(key);
    for (const exchange_id key : gone) {
        release(key, false);
        m_server.answer(key, io::status::unavailable, {}, "");
    }
}

} // namespace standin
