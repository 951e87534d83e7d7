// Keeps one key in the platform's store for as long as this process lives.
#include "store/lease_holder.hpp"

#include <utility>

#include "io/http_status.hpp"

namespace skylark::store {

namespace {
// Two renewals may be lost before the lease ends.
constexpr int renewals_in_life = 3;
// Each refused call counts at the store, from every entry at once.
constexpr auto retry_wait = seconds{2};
constexpr std::size_t answer_limit = 4096; // bytes
} // namespace

lease_holder::lease_holder(io::event_loop& loop, address where, std::string key,
                           std::string value, duration life,
                           std::function<void(lease_event)> told)
    : m_loop{loop}, m_fetcher{loop, answer_limit}, m_where{where},
      m_key{std::move(key)}, m_value{std::move(value)}, m_life{life},
      m_told{std::move(told)} {}

void lease_holder::start() {
    if (!std::exchange(m_stopped, false))
        return;
    ++m_run;
    step();
}

void lease_holder::stop() {
    m_held = false;
    const std::uint64_t lease = std::exchange(m_lease, 0);
    if (std::exchange(m_stopped, true) || lease == 0)
        return;
    auto request = m_protocol.end(lease);
    request.m_to = m_where;
    // Without an answer the lease ends by itself.
    m_fetcher.run(request, [](const io::fetch_result&) {});
}

void lease_holder::step() {
    if (m_stopped)
        return;
    if (m_lease == 0)
        ask();
    else if (!m_held)
        write();
    else
        renew();
}

void lease_holder::again(duration wait) {
    m_loop.after(wait, [this, run = m_run] {
        if (run == m_run)
            step();
    });
}

// Runs a call; whatever is no answer is tried again.
void lease_holder::call(io::fetch_request what, reader read) {
    what.m_to = m_where;
    m_fetcher.run(what, [this, run = m_run,
                         read = std::move(read)](const io::fetch_result& got) {
        // A lease that is granted after a stop ends by itself.
        if (m_stopped || run != m_run)
            return;
        const auto* answer = std::get_if<io::fetch_answer>(&got);
        const bool ended = answer && answer->m_status == io::status::not_found;
        if (answer && (answer->m_status == io::status::ok || ended)) {
            m_failing = false;
            if (ended)
                lose();
            else
                read(*answer);
            return;
        }
        if (!std::exchange(m_failing, true))
            m_told(lease_event::failed);
        again(retry_wait);
    });
}

void lease_holder::lose() {
    if (std::exchange(m_held, false))
        m_told(lease_event::lost);
    m_lease = 0;
    step();
}

void lease_holder::ask() {
    call(m_protocol.lease(m_life), [this](const auto& answer) {
        const auto granted = m_protocol.read_lease(answer);
        m_lease = granted ? granted.value().m_id : 0;
        if (m_lease == 0)
            again(retry_wait);
        else
            step();
    });
}

// A little early, so that the last one in a life still counts.
void lease_holder::renew_later() {
    again(m_life / renewals_in_life - m_life / 100);
}

void lease_holder::write() {
    call(m_protocol.put(m_key, m_value, m_lease), [this](const auto&) {
        m_held = true;
        m_told(lease_event::held);
        renew_later();
    });
}

void lease_holder::renew() {
    call(m_protocol.renew(m_lease), [this](const auto&) { renew_later(); });
}

} // namespace skylark::store
