// Periodic polling of load endpoints, and report digests for the peers.
#include "entry/prober.hpp"

#include <algorithm>
#include <array>

namespace skylark::entry {

namespace {
constexpr auto check_period = milliseconds{50};
// An upstream whose last report is younger than this is not probed.
constexpr auto fresh_report_age = milliseconds{300};
constexpr auto max_digest_age = seconds{1};
constexpr auto probe_timeout = milliseconds{300};
constexpr auto digest_period = milliseconds{600};
// Limits the size of datagrams.
constexpr std::size_t digests_per_heartbeat = 40;
constexpr std::size_t max_response_size = 4096; // bytes
} // namespace

prober::prober(context& shared, forwarder& data_path)
    : m_shared{shared}, m_data_path{data_path},
      m_fetcher{shared.m_loop, max_response_size}, m_fleet_bucket{0.0, 1.0} {}

void prober::start() {
    m_shared.m_loop.every(check_period, [this] { probe_due(); });
}

bool prober::owns_probe_share(upstream_id key) const {
    return m_shared.m_fleet.usable(key, share_kind::probe, 1) > 0;
}

token_bucket& prober::bucket_of(upstream_id key) {
    const auto rate = static_cast<double>(
        m_shared.m_config.current().m_limits.m_probes_per_upstream);
    token_bucket& bucket = m_buckets.try_emplace(key, rate, 1.0).first->second;
    bucket.set_rate(rate, 1.0);
    return bucket;
}

void prober::probe_due() {
    if (!m_shared.m_config.ready())
        return;
    const auto members = std::max<std::size_t>(1, m_shared.m_fleet.size());
    const limits& configured = m_shared.m_config.current().m_limits;
    const double rate = static_cast<double>(configured.m_probes_fleet) /
                        static_cast<double>(members);
    const std::chrono::duration<double> period = check_period;
    m_fleet_bucket.set_rate(rate, std::max(1.0, 2 * rate * period.count()));
    const time_point now = io::event_loop::now();
    std::vector<upstream*> due;
    for (auto& [key, item] : m_shared.m_upstreams.all()) {
        if (!item.m_listed || !item.m_zone_active || !owns_probe_share(key)) {
            // If this entry owns the share again, its bucket begins empty.
            m_buckets.erase(key);
            continue;
        }
        if (item.m_availability.usable(now) &&
            item.m_load.report_age(now) >= fresh_report_age)
            due.push_back(&item);
    }
    // Oldest reports first, so that every upstream is probed at some time even
    // if the fleet's probe limit does not suffice for all.
    std::sort(due.begin(), due.end(), [&](upstream* left, upstream* right) {
        return left->m_load.report_age(now) > right->m_load.report_age(now);
    });
    for (upstream* item : due) {
        if (!m_fleet_bucket.has(now))
            return;
        if (bucket_of(item->m_id).take(now)) {
            m_fleet_bucket.take(now);
            probe(*item);
        }
    }
}

void prober::probe(upstream& of) {
    m_shared.m_metrics.count(counter::probes);
    io::fetch_request request;
    request.m_to = of.m_address;
    request.m_path = "/load";
    request.m_timeout = probe_timeout;
    const upstream_id key = of.m_id;
    const time_point sent_at = io::event_loop::now();
    m_fetcher.run(
        request, [this, key, sent_at](const io::fetch_result& result) {
            upstream* found = m_shared.m_upstreams.find(key);
            if (!found)
                return;
            const auto* response = std::get_if<io::fetch_answer>(&result);
            const auto report = parse_report(response ? response->m_body : "");
            if (report)
                m_data_path.apply_report(*found, report.value(), sent_at);
            else
                found->m_load.record_failure();
            m_data_path.dispatch_queued();
        });
}

// A changed state or incarnation is sent with the next heartbeat, all else once
// per digest_period. The digests sent longest ago go first, so that the limit
// per heartbeat delays none of them for good.
std::vector<load_digest> prober::digests() {
    const time_point now = io::event_loop::now();
    std::vector<upstream*> due;
    for (auto& [key, item] : m_shared.m_upstreams.all()) {
        const duration age = item.m_load.report_age(now);
        if (age > max_digest_age || !owns_probe_share(key))
            continue;
        const load_report& report = item.m_load.last_report();
        const sent_digest& sent = m_sent[key];
        const bool changed = sent.m_state != report.m_state ||
                             sent.m_incarnation != report.m_incarnation;
        if (changed || now - sent.m_at >= digest_period)
            due.push_back(&item);
    }
    std::sort(due.begin(), due.end(), [&](upstream* left, upstream* right) {
        return m_sent[left->m_id].m_at < m_sent[right->m_id].m_at;
    });
    if (due.size() > digests_per_heartbeat)
        due.resize(digests_per_heartbeat);
    std::vector<load_digest> out;
    for (const upstream* item : due) {
        const load_report& report = item->m_load.last_report();
        out.push_back({item->m_id, report, item->m_load.report_age(now)});
        m_sent[item->m_id] = {now, report.m_state, report.m_incarnation};
    }
    return out;
}

void prober::apply_digest(const load_digest& digest) {
    upstream* found = m_shared.m_upstreams.find(digest.m_upstream);
    if (!found)
        return;
    const time_point now = io::event_loop::now();
    m_data_path.apply_report(*found, digest.m_report, now - digest.m_age);
}

} // namespace skylark::entry
