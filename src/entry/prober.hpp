/*! @file
 *  Periodic polling of load endpoints within the probe limits, and exchange of
 *  the reports with the peers. */
#ifndef SKYLARK_ENTRY_PROBER_HPP
#define SKYLARK_ENTRY_PROBER_HPP

#include <map>
#include <vector>

#include <skylark/limit/token_bucket.hpp>

#include "entry/context.hpp"
#include "entry/forwarder.hpp"
#include "io/fetcher.hpp"

namespace skylark::entry {

/*! @brief Polls the upstreams whose probe share this entry owns. The other
 *  entries receive the reports as digests in heartbeats. */
class prober {
public:
    prober(context& shared, forwarder& data_path);

    /*! @brief Starts periodic polling. */
    void start();

    /*! @brief Digests for the next heartbeat, which count as sent. */
    std::vector<load_digest> digests();

    /*! @brief Applies a digest that a peer sent; ignored for an unknown
     *  upstream. */
    void apply_digest(const load_digest& digest);

private:
    void probe_due();
    void probe(upstream& of);
    [[nodiscard]] bool owns_probe_share(upstream_id key) const;
    token_bucket& bucket_of(upstream_id key);

    struct sent_digest {
        time_point m_at;
        upstream_state m_state{};
        std::uint64_t m_incarnation{};
    };

    context& m_shared;
    forwarder& m_data_path;
    io::fetcher m_fetcher;
    std::map<upstream_id, token_bucket> m_buckets; // probes per upstream
    token_bucket m_fleet_bucket; // this entry's part of the fleet limit
    std::map<upstream_id, sent_digest> m_sent; // last digest sent
};

} // namespace skylark::entry

#endif
