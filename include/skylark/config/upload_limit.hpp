/*! @file
 *  Upload limit: how many peers an entry serves its configuration to at a time.
 *
 *  Hundreds of entries learn of a new version at the same moment, from the same
 *  few relays. A source that served all of them at once would fill its link and
 *  finish with none; it serves some, and refers the others to those, so the
 *  number of sources doubles with each transfer. */
#ifndef SKYLARK_CONFIG_UPLOAD_LIMIT_HPP
#define SKYLARK_CONFIG_UPLOAD_LIMIT_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/core/id.hpp>

namespace skylark {

/*! @brief Limits the transfers of one source and remembers who got them. */
class upload_limit {
public:
    /*! @brief Starts a transfer unless too much is under way already.
     *  @param key the exchange that carries it
     *  @param to the receiver's address for transfers
     *  @param bytes of the transfer
     *  @return whether to serve it */
    bool begin(exchange_id key, const address& to, std::size_t bytes);

    /*! @brief An exchange ended; others than those of begin() are ignored.
     *  @param complete whether its answer was */
    void ended(exchange_id key, bool complete);

    /*! @brief Another version is served from now on. */
    void version_changed();

    /*! @brief Receivers of the present version: those that have it, latest
     *  first, then those that are getting it. */
    [[nodiscard]] std::vector<address> holders() const;

private:
    // Small documents are served to everybody at once: at 10 Mbit/s this takes
    // 0.2 s.
    static constexpr std::size_t most_bytes = std::size_t{256} << 10U;
    // Served at a time whatever their size, as receivers may be slow.
    static constexpr std::size_t least_transfers = 3;
    static constexpr std::size_t most_holders = 8;

    struct upload {
        address m_to;
        std::size_t m_bytes{};
        bool m_present{true}; // of the present version
    };

    std::map<exchange_id, upload> m_uploads;
    // Invariant: the sum over m_uploads.
    std::size_t m_bytes{};
    std::deque<address> m_holders; // latest first
};

} // namespace skylark

#endif
