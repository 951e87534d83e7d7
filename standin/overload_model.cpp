// Model of a service under load, in virtual time.
#include "standin/overload_model.hpp"

#include <algorithm>
#include <cmath>

#include <skylark/limit/retry_after.hpp>

#include "core/overloaded.hpp"
#include "standin/entry_model.hpp"
#include "standin/service_model.hpp"

using namespace skylark;

namespace standin {

namespace {

constexpr duration one_way = microseconds{1500};
constexpr duration probe_round_trip = 2 * one_way;
constexpr duration probe_overdue = milliseconds{8};
constexpr duration probe_failed = milliseconds{250};
constexpr duration calm_period = seconds{1};
constexpr std::size_t probe_budget = 1000;
constexpr int max_probing_part = 8;
constexpr std::uint32_t in_thousand = 1000;

class model {
public:
    explicit model(const overload_scenario& from)
        : m_from{from}, m_random{from.m_seed}, m_service{from, m_clock,
                                                         m_random},
          m_entries(from.m_entries) {
        for (entry& item : m_entries)
            item.m_known.resize(from.m_upstreams);
        m_result.m_requests.resize(from.m_upstreams);
        const auto length =
            std::chrono::ceil<std::chrono::seconds>(from.m_length).count();
        m_result.m_seconds.resize(static_cast<std::size_t>(length));
    }

    overload_result run() {
        m_service.start();
        next_caller();
        m_clock.run();
        return std::move(m_result);
    }

private:
    double draw_fraction() {
        return (m_random(in_thousand) + 1.0) / (in_thousand + 1.0);
    }

    void next_caller() {
        const bool burst = m_clock.elapsed() >= m_from.m_burst_begin &&
                           m_clock.elapsed() < m_from.m_burst_end;
        const double rate = bearable_rate(m_from) *
                            (burst ? m_from.m_burst_load : m_from.m_load);
        const std::chrono::duration<double> gap{-std::log(draw_fraction()) /
                                                rate};
        m_clock.after(std::chrono::duration_cast<duration>(gap), [this] {
            if (m_clock.elapsed() >= m_from.m_length)
                return;
            caller made;
            made.m_first = m_clock.now();
            const double part =
                1.0 - m_from.m_deadline_spread * draw_fraction();
            made.m_deadline = std::chrono::duration_cast<duration>(
                part * std::chrono::duration<double>{m_from.m_deadline});
            ++second_of(made).m_asked;
            arrive(made);
            next_caller();
        });
    }

    overload_second& second_of(const caller& of) {
        const auto index = std::chrono::floor<std::chrono::seconds>(
            of.m_first - virtual_clock::begin);
        return m_result.m_seconds[static_cast<std::size_t>(index.count())];
    }

    void arrive(const caller& from) {
        request made;
        made.m_caller = from;
        made.m_entry = m_random(m_from.m_entries);
        made.m_arrived = m_clock.now();
        entry& at = m_entries[made.m_entry];
        const duration requested =
            from.m_deadline - (m_clock.now() - from.m_first);
        if (m_clock.now() - at.m_last_refusal > calm_period)
            at.m_range.add(requested);
        made.m_target_time =
            m_clock.now() + m_from.m_target - at.m_range.least_wait(requested);
        plan(std::move(made));
    }

    room_terms terms_of(const request& of) {
        entry& at = m_entries[of.m_entry];
        return make_room_terms(of.m_target_time - m_clock.now(),
                               m_from.m_target, at.m_times,
                               at.m_room.scarce(m_clock.now()));
    }

    void plan(request of) {
        const room_terms terms = terms_of(of);
        const auto list = candidates(m_entries[of.m_entry], of, terms.m_scarce,
                                     m_clock.now());
        const bool may_probe =
            m_clock.now() - of.m_arrived < m_from.m_target / max_probing_part;
        const probe_step step = plan_probe_step(
            list, {true, may_probe ? probe_budget : 0, terms}, m_random);
        std::visit(overloaded{[&](const probe_upstreams& next) {
                                  probe(std::move(of), next.m_targets);
                              },
                              [&](const send_to_upstream& to) {
                                  send(std::move(of), index_of(to.m_upstream));
                              },
                              [](const await_probes&) {},
                              [&](const no_upstream_available&) {
                                  refuse(of, refusal_cause::no_room);
                              }},
                   step);
    }

    static std::uint32_t index_of(upstream_id key) {
        return static_cast<std::uint32_t>(key.value() - 1);
    }

    void probe(request of, const std::vector<upstream_id>& targets) {
        std::vector<std::uint32_t> silent;
        std::vector<std::uint32_t> answering;
        for (const upstream_id target : targets) {
            const std::uint32_t index = index_of(target);
            of.m_probed.push_back(index);
            (m_service.silent(index) ? silent : answering).push_back(index);
        }
        for (const std::uint32_t index : silent)
            m_clock.after(probe_failed, [this, at = of.m_entry, index] {
                m_entries[at].m_known[index].m_suspect = true;
            });
        m_clock.after(silent.empty() ? probe_round_trip : probe_overdue,
                      [this, of = std::move(of), silent, answering]() mutable {
                          for (const std::uint32_t index : answering)
                              take_report(of, index);
                          of.m_overdue.insert(of.m_overdue.end(),
                                              silent.begin(), silent.end());
                          plan(std::move(of));
                      });
    }

    void take_report(const request& of, std::uint32_t index) {
        entry& at = m_entries[of.m_entry];
        known_upstream& known = at.m_known[index];
        known.m_report = m_service.report(index);
        known.m_taken = m_clock.now();
        known.m_sent_since_report = 0;
        known.m_health.checked(m_service.says_healthy(index));
        at.m_room.add(m_clock.now(),
                      has_timely_room(*known.m_report, terms_of(of)));
    }

    void send(request of, std::uint32_t to) {
        known_upstream& known = m_entries[of.m_entry].m_known[to];
        ++known.m_in_flight;
        ++known.m_sent_since_report;
        ++m_result.m_requests[to];
        of.m_report = known.m_report.value_or(load_report{});
        m_clock.after(one_way, [this, of = std::move(of), to]() mutable {
            reach(std::move(of), to);
        });
    }

    void reach(request of, std::uint32_t to) {
        m_service.receive(to, [this, of = std::move(of), to](work_result result,
                                                             duration took) {
            m_clock.after(one_way, [this, of, to, result, took] {
                finish(of, to, result, took);
            });
        });
    }

    void finish(const request& of, std::uint32_t from, work_result result,
                duration took) {
        if (result == work_result::done) {
            answer(of, from, took);
        } else if (result == work_result::refused) {
            --m_entries[of.m_entry].m_known[from].m_in_flight;
            refuse(of, refusal_cause::upstream_refused);
        } else {
            ++m_result.m_hung;
            ++second_of(of.m_caller).m_refused;
        }
    }

    void answer(const request& of, std::uint32_t from, duration took) {
        entry& at = m_entries[of.m_entry];
        known_upstream& known = at.m_known[from];
        --known.m_in_flight;
        known.m_health.answered(true, m_clock.now());
        if (of.m_report.m_queue == 0 && of.m_report.m_used < m_from.m_slots)
            at.m_times.add_sample(took,
                                  of.m_report.m_slowness /
                                      static_cast<double>(nominal_slowness),
                                  near_saturation(of.m_report));
        const duration waited = m_clock.now() - of.m_caller.m_first;
        overload_second& second = second_of(of.m_caller);
        if (waited <= m_from.m_target)
            ++second.m_in_time;
        else if (waited <= of.m_caller.m_deadline)
            ++second.m_late;
        else
            ++second.m_refused;
    }

    void refuse(const request& of, refusal_cause cause) {
        entry& at = m_entries[of.m_entry];
        at.m_last_refusal = m_clock.now();
        if (cause == refusal_cause::no_room)
            m_result.m_longest_hold =
                std::max(m_result.m_longest_hold, m_clock.now() - of.m_arrived);
        const refusal why{cause, of.m_target_time - m_clock.now(),
                          at.m_times.service_time(),
                          at.m_room.share(m_clock.now()), std::nullopt};
        caller again = of.m_caller;
        const duration left =
            again.m_deadline - (m_clock.now() - again.m_first);
        // Callers wait no longer than a third of the time they have left.
        const duration delay =
            std::min<duration>(retry_after(why, m_random), left / 3);
        if (again.m_returns++ == m_from.m_returns || left <= duration{0}) {
            ++second_of(again).m_refused;
            return;
        }
        m_clock.after(delay + 4 * one_way, [this, again] { arrive(again); });
    }

    overload_scenario m_from;
    random_source m_random;
    virtual_clock m_clock;
    service_model m_service;
    std::vector<entry> m_entries;
    overload_result m_result;
};

} // namespace

double bearable_rate(const overload_scenario& from) {
    // The slots that add throughput.
    load_report idle{0, upstream_state::warm, 0, from.m_slots, 0};
    while (adds_throughput(idle, from.m_saturation_slowdown))
        ++idle.m_used;
    const double upstreams = from.m_upstreams - from.m_silent;
    return upstreams * (1.0 - from.m_slow_share) * idle.m_used /
           std::chrono::duration<double>{from.m_work}.count();
}

overload_result play(const overload_scenario& from) {
    return model{from}.run();
}

} // namespace standin
