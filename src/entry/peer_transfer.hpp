// Fetches one kind of data from the peers that announce a newer version.
#ifndef SKYLARK_ENTRY_PEER_TRANSFER_HPP
#define SKYLARK_ENTRY_PEER_TRANSFER_HPP

#include <functional>
#include <map>
#include <string_view>
#include <vector>

#include <skylark/config/transfer_plan.hpp>

#include "io/event_loop.hpp"
#include "io/fetcher.hpp"

namespace skylark::entry {

/*! @brief What depends on the kind of data. */
struct transfer_hooks {
    //! Request for what is newer than the present version; the address is set
    //! by the caller.
    std::function<io::fetch_request()> m_request;
    //! Takes an answer; may call adopted() and clear().
    std::function<transfer_end(const io::fetch_answer&)> m_take;
    //! Whether a peer, by its address for transfers, is in the own zone.
    std::function<bool(const address&)> m_in_own_zone;
    //! A transfer brought nothing usable.
    std::function<void(const address&, std::string_view)> m_failed;
};

/*! @brief Runs the transfers that a transfer_plan decides on. */
class peer_transfer {
public:
    /*! @param loop must outlive the object
     *  @param limit largest accepted answer, in bytes
     *  @param plan of the transfers
     *  @param hooks of the data */
    peer_transfer(io::event_loop& loop, std::size_t limit,
                  const transfer_plan& plan, transfer_hooks hooks)
        : m_loop{loop}, m_fetcher{loop, limit}, m_plan{plan}, m_hooks{std::move(
                                                                  hooks)} {}

    /*! @brief See transfer_plan::announced. */
    void announced(const config_order& which, const transfer_source& by);

    /*! @brief A version is in force now; see transfer_plan::adopted. */
    void adopted(const config_order& in_force);

    /*! @brief Ends all transfers; what was announced cannot be used. */
    void clear();

    /*! @brief The decisions so far. */
    [[nodiscard]] const transfer_plan& plan() const { return m_plan; }

private:
    void start_transfers();
    void begin(const address& from);
    void end(const address& from, const io::fetch_result& result);
    [[nodiscard]] std::vector<transfer_source>
    holders_in(const io::fetch_answer& answer) const;

    io::event_loop& m_loop;
    io::fetcher m_fetcher;
    transfer_plan m_plan;
    transfer_hooks m_hooks;
    std::map<address, io::fetcher::fetch_id> m_active;
    bool m_checking{}; // a check is scheduled
};

} // namespace skylark::entry

#endif
