// Open-loop callers.
#include "standin/load.hpp"

#include <algorithm>
#include <random>

#include <nlohmann/json.hpp>

#include "core/overloaded.hpp"
#include "io/http_status.hpp"

namespace standin {

using namespace skylark;

namespace {
constexpr std::uint32_t most_tries = 3; // entries that one call may try
constexpr auto caller_patience = milliseconds{500}; // beyond the deadline
constexpr int receive_buffer = 256 << 10;           // bytes
constexpr std::size_t answer_limit = std::size_t{1} << 20U;

} // namespace

load::load(io::event_loop& loop, const experiment& what)
    : m_loop{loop}, m_experiment{what}, m_client{loop,
                                                 {seconds{5}, receive_buffer}},
      m_fetcher{loop, answer_limit}, m_random{what.m_seed} {
    for (const std::string& zone : what.m_zones)
        for (std::uint32_t i = 0; i < what.m_callers_per_zone; ++i) {
            caller added;
            added.m_zone = zone;
            added.m_near = what.m_entries;
            m_callers.push_back(added);
        }
}

time_point load::elapsed(double seconds_passed) const {
    const std::chrono::duration<double> passed{seconds_passed};
    return m_start + std::chrono::duration_cast<duration>(passed);
}

void load::run() {
    m_start = io::event_loop::now();
    if (!m_experiment.m_direct)
        for (std::size_t i = 0; i < m_callers.size(); ++i)
            ask(i);
    for (std::size_t i = 0; i < m_experiment.m_flows.size(); ++i)
        schedule(i);
    const time_point stop = elapsed(m_experiment.m_duration_s);
    constexpr auto grace = seconds{15};
    constexpr auto turn = milliseconds{20};
    while (io::event_loop::now() < stop)
        m_loop.run_once(turn);
    while (!m_calls.empty() && io::event_loop::now() < stop + grace)
        m_loop.run_once(turn);
}

// Poisson arrivals; late turns do not shift the intended times.
void load::schedule(std::size_t flow_index) {
    const flow& of = m_experiment.m_flows[flow_index];
    auto next = std::make_shared<time_point>(elapsed(of.m_from_s));
    const time_point stop =
        elapsed(std::min(of.m_until_s, m_experiment.m_duration_s));
    std::exponential_distribution<double> gap{of.m_rate};
    auto step = std::make_shared<std::function<void()>>();
    *step = [=, this]() mutable {
        while (*next <= io::event_loop::now() && *next < stop) {
            begin(flow_index, *next);
            const std::chrono::duration<double> wait{gap(m_random)};
            *next += std::chrono::duration_cast<duration>(wait);
        }
        if (*next < stop)
            m_loop.after(*next - io::event_loop::now(), [step] { (*step)(); });
    };
    m_loop.after(*next - io::event_loop::now(), [step] { (*step)(); });
}

void load::begin(std::size_t flow_index, time_point intended) {
    const flow& of = m_experiment.m_flows[flow_index];
    const call_id key = m_calls.emplace();
    call& made = *m_calls.find(key);
    made.m_flow = flow_index;
    made.m_caller = m_next_caller++ % m_callers.size();
    made.m_intended = intended;
    made.m_key = of.m_name + '-' + std::to_string(m_experiment.m_seed) + '-' +
                 std::to_string(++m_keys);
    made.m_timer =
        m_loop.after(milliseconds{of.m_deadline_ms} + caller_patience,
                     [this, key] { expire(key); });
    connect(key);
}

void load::connect(call_id key) {
    call& of = *m_calls.find(key);
    ++of.m_tries;
    of.m_sent = false;
    if (!choose_entry(of)) {
        end(key, call_end::not_run);
        return;
    }
    const auto handler = [this, key](connection_id,
                                     const io::client_event& what) {
        handle(key, what);
    };
    auto& idle = m_idle[of.m_entry];
    while (!idle.empty()) {
        const connection_id kept = idle.back();
        idle.pop_back();
        if (m_client.usable(kept)) {
            of.m_connection = kept;
            m_client.rebind(kept, handler);
            send(key);
            return;
        }
        m_client.close(kept);
    }
    of.m_connection = m_client.open(of.m_entry, handler);
}

void load::send(call_id key) {
    call& of = *m_calls.find(key);
    const flow& kind = m_experiment.m_flows[of.m_flow];
    io::fetch_request out;
    out.m_to = of.m_entry;
    out.m_method = kind.m_method;
    out.m_path = kind.m_path;
    out.m_headers = {
        {"Idempotency-Key", of.m_key},
        {"Request-Timeout-Ms", std::to_string(kind.m_deadline_ms)}};
    if (const auto colon = kind.m_header.find(": "); colon != std::string::npos)
        out.m_headers.push_back(
            {kind.m_header.substr(0, colon), kind.m_header.substr(colon + 2)});
    out.m_body.assign(static_cast<std::size_t>(kind.m_body_bytes), 'b');
    of.m_sent = true;
    m_client.send(of.m_connection, io::format_request(out),
                  kind.m_method == "HEAD");
}

void load::handle(call_id key, const io::client_event& what) {
    call* of = m_calls.find(key);
    if (!of)
        return;
    std::visit(overloaded{[&](const io::connected&) { send(key); },
                          [&](const io::head_received& event) {
                              take_head(*of, event.m_head);
                          },
                          [&](const io::body_received& event) {
                              slow_down(*of, event.m_piece.size());
                          },
                          [&](const io::response_complete& event) {
                              complete(key, event.m_reusable);
                          },
                          [&](const io::connection_failed& event) {
                              failed(key, event);
                          }},
               what);
}

void load::take_head(call& of, const io::response_head& head) {
    of.m_status = head.m_status;
    of.m_verdict = io::find_header(head.m_headers, "request-verdict");
    of.m_answer_key = io::find_header(head.m_headers, "request-key");
    of.m_hint = io::find_header(head.m_headers, "try-entry");
    // A long answer is judged by its completeness, not by the deadline.
    m_loop.cancel(of.m_timer);
}

// Reads in steps, so that the rate over time is the flow's.
void load::slow_down(const call& of, std::size_t bytes) {
    const std::int64_t rate = m_experiment.m_flows[of.m_flow].m_read_bytes;
    if (rate == 0)
        return;
    const connection_id connection = of.m_connection;
    m_client.pause(connection);
    const std::chrono::duration<double> wait{static_cast<double>(bytes) /
                                             static_cast<double>(rate)};
    m_loop.after(std::chrono::duration_cast<duration>(wait),
                 [this, connection] { m_client.resume(connection); });
}

void load::complete(call_id key, bool reusable) {
    call& of = *m_calls.find(key);
    const bool slow = m_experiment.m_flows[of.m_flow].m_read_bytes != 0;
    // A slow reader's connection may be paused: others must not wait for it.
    if (reusable && slow)
        m_client.close(of.m_connection);
    else if (reusable)
        m_idle[of.m_entry].push_back(of.m_connection);
    const bool told = !of.m_verdict.empty();
    if (of.m_verdict == "not-run") {
        if (!repeat(key, true))
            end(key, call_end::not_run);
    } else if (of.m_verdict == "unknown") {
        if (!repeat(key, false))
            end(key, call_end::unknown);
    } else if (of.m_status >= io::status::first_server_error) {
        end(key, told ? call_end::failed : call_end::unknown);
    } else {
        if (!of.m_answer_key.empty() && of.m_answer_key != of.m_key)
            ++m_result.m_wrong_answers;
        end(key, call_end::answered);
    }
}

void load::failed(call_id key, const io::connection_failed& why) {
    const call& of = *m_calls.find(key);
    const bool begun = why.m_head_received;
    if (!begun && repeat(key, !of.m_sent))
        return;
    if (begun)
        end(key, call_end::broken);
    else
        end(key, of.m_sent ? call_end::unknown : call_end::not_run);
}

// A keyed call is repeated only when it is certain that it did not run.
bool load::repeat(call_id key, bool certain) {
    call& of = *m_calls.find(key);
    const flow& kind = m_experiment.m_flows[of.m_flow];
    const duration spent = io::event_loop::now() - of.m_intended;
    if (of.m_tries >= most_tries || (kind.m_keyed && !certain) ||
        spent >= milliseconds{kind.m_deadline_ms})
        return false;
    ++m_result.m_flows[kind.m_name].m_repeated;
    connect(key);
    return true;
}

void load::expire(call_id key) {
    call* of = m_calls.find(key);
    if (!of)
        return;
    m_client.close(of->m_connection);
    end(key, of->m_sent ? call_end::unknown : call_end::not_run);
}

void load::end(call_id key, call_end how) {
    call& of = *m_calls.find(key);
    const flow& kind = m_experiment.m_flows[of.m_flow];
    m_loop.cancel(of.m_timer);
    const time_point now = io::event_loop::now();
    if (kind.m_keyed)
        m_result.m_keys[of.m_key] = how;
    if (of.m_intended >= elapsed(m_experiment.m_warmup_s)) {
        const auto second =
            std::chrono::duration_cast<seconds>(of.m_intended - m_start)
                .count();
        m_result.m_flows[kind.m_name].add(how, now - of.m_intended,
                                          static_cast<std::size_t>(second));
    }
    m_calls.erase(key);
}

} // namespace standin
