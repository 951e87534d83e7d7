// Asks load endpoints, within the budget, where this entry is the prober.
#ifndef SKYLARK_ENTRY_PROBER_HPP
#define SKYLARK_ENTRY_PROBER_HPP

#include <map>
#include <vector>

#include <skylark/limit/token_bucket.hpp>

#include "entry/context.hpp"
#include "entry/forwarder.hpp"
#include "io/fetcher.hpp"

namespace skylark::entry {

/*! @brief Owner of the probe share asks; all others get the result by
 *  heartbeat. */
class prober {
public:
    prober(context& shared, forwarder& data_path);

    void start();

    /*! @brief Reports to pass on with the next heartbeat. */
    std::vector<load_digest> digests();

    /*! @brief A report that a peer passed on. */
    void take(const load_digest& digest);

private:
    void probe_due();
    void probe(upstream& of);
    [[nodiscard]] bool mine(upstream_id key) const;
    token_bucket& bucket_of(upstream_id key);

    struct sent_digest {
        time_point m_at;
        upstream_state m_state{};
        std::uint64_t m_incarnation{};
    };

    context& m_shared;
    forwarder& m_data_path;
    io::fetcher m_fetcher;
    std::map<upstream_id, token_bucket> m_buckets;
    token_bucket m_fleet_bucket;
    std::map<upstream_id, sent_digest> m_sent;
};

} // namespace skylark::entry

#endif
