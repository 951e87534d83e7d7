// Holds one key in the platform's store while this process runs.
#include "store/lease_holder.hpp"

#include <utility>

#include "io/http_status.hpp"

namespace skylark::store {

namespace {
// Two renewals in a row may be lost before the lease expires.
constexpr int renewals_per_ttl = 3;
// The store counts refused calls too, and all entries retry at the same time.
constexpr auto retry_interval = seconds{2};
constexpr std::size_t max_answer_bytes = 4096;
} // namespace

lease_holder::lease_holder(io::event_loop& loop, address where, std::string key,
                           std::string value, duration ttl,
                           std::function<void(lease_event)> on_event)
    : m_loop{loop}, m_fetcher{loop, max_answer_bytes}, m_where{where},
      m_key{std::move(key)}, m_value{std::move(value)}, m_ttl{ttl},
      m_on_event{std::move(on_event)} {}

void lease_holder::start() {
    if (!std::exchange(m_stopped, false))
        return;
    ++m_run;
    run_step();
}

void lease_holder::stop() {
    m_held = false;
    const std::uint64_t lease_id = std::exchange(m_lease_id, 0);
    if (std::exchange(m_stopped, true) || lease_id == 0)
        return;
    auto request = m_protocol.end(lease_id);
    request.m_to = m_where;
    // If the call is lost, the lease expires.
    m_fetcher.run(request, [](const io::fetch_result&) {});
}

void lease_holder::run_step() {
    if (m_stopped)
        return;
    if (m_lease_id == 0)
        request_lease();
    else if (!m_held)
        write_key();
    else
        renew();
}

void lease_holder::schedule_step(duration wait) {
    m_loop.after(wait, [this, run = m_run] {
        if (run == m_run)
            run_step();
    });
}

// Runs a call; without a usable answer the step is retried.
void lease_holder::call(io::fetch_request request, answer_handler on_answer) {
    request.m_to = m_where;
    m_fetcher.run(
        request, [this, run = m_run, on_answer = std::move(on_answer)](
                     const io::fetch_result& result) {
            // A lease that is granted after stop() expires, as nothing renews
            // it.
            if (m_stopped || run != m_run)
                return;
            const auto* answer = std::get_if<io::fetch_answer>(&result);
            const bool expired =
                answer &&
                (answer->m_status == io::status::not_found || is_void(*answer));
            if (answer && (answer->m_status == io::status::ok || expired)) {
                m_failing = false;
                if (expired)
                    handle_expiry();
                else
                    on_answer(*answer);
                return;
            }
            if (!std::exchange(m_failing, true))
                m_on_event(lease_event::failed);
            schedule_step(retry_interval);
        });
}

// Whether the lease was granted before the store was restored.
bool lease_holder::is_void(const io::fetch_answer& answer) const {
    return answer.m_status == io::status::ok && m_lease_id != 0 &&
           m_protocol.read_era(answer).value_or(m_lease_era) > m_lease_era;
}

void lease_holder::handle_expiry() {
    if (std::exchange(m_held, false))
        m_on_event(lease_event::lost);
    m_lease_id = 0;
    run_step();
}

void lease_holder::request_lease() {
    call(m_protocol.lease(m_ttl), [this](const auto& answer) {
        const auto granted = m_protocol.read_lease(answer);
        m_lease_id = granted ? granted.value().m_id : 0;
        m_lease_era = m_protocol.read_era(answer).value_or(m_lease_era);
        if (m_lease_id == 0)
            schedule_step(retry_interval);
        else
            run_step();
    });
}

// Renews 1% early, so that the last renewal arrives before the lease expires.
void lease_holder::schedule_renewal() {
    schedule_step(m_ttl / renewals_per_ttl - m_ttl / 100);
}

void lease_holder::write_key() {
    call(m_protocol.put(m_key, m_value, m_lease_id), [this](const auto&) {
        m_held = true;
        m_on_event(lease_event::held);
        schedule_renewal();
    });
}

void lease_holder::renew() {
    call(m_protocol.renew(m_lease_id),
         [this](const auto&) { schedule_renewal(); });
}

} // namespace skylark::store
