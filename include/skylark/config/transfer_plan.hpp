/*! @file
 *  Transfer plan: from which peers an entry fetches a newer version, and when
 *  it asks the store instead.
 *
 *  Peers freeze, are cut off and have slow links, so no transfer blocks the
 *  next one: a source that sends nothing is overtaken by another one, and is
 *  still taken if it goes on. Traffic between zones is billed, so sources in
 * the own zone come first. */
#ifndef SKYLARK_CONFIG_TRANSFER_PLAN_HPP
#define SKYLARK_CONFIG_TRANSFER_PLAN_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include <skylark/config/config_order.hpp>
#include <skylark/core/address.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Delays and limits of transfers between peers. */
struct transfer_timing {
    //! A transfer without input for this long no longer keeps others waiting.
    duration m_stall_limit{milliseconds{250}};
    //! Until a source that was busy, or had nothing newer, is asked again.
    duration m_busy_delay{milliseconds{100}};
    //! Until a source that failed is asked again.
    duration m_failure_delay{milliseconds{500}};
    std::size_t m_most_transfers{3};
    //! From the first announcement until another zone's source is used while
    //! sources in the own zone are busy.
    duration m_zone_patience{milliseconds{100}};
    //! From the first announcement until the store is asked.
    duration m_store_delay{milliseconds{750}};
    //! The same while a transfer makes progress; the transfer goes on.
    duration m_store_delay_in_progress{milliseconds{1250}};
};

/*! @brief How a transfer ended. */
enum class transfer_end : std::uint8_t {
    delivered,
    unchanged, //!< the source has nothing newer
    busy,      //!< the source serves as many transfers as it can
    failed
};

/*! @brief Peer that has a version. */
struct transfer_source {
    address m_address;     //!< for transfers
    bool m_own_zone{true}; //!< in the availability zone of this entry
};

/*! @brief Decides on the transfers of one kind of data to one entry. */
class transfer_plan {
public:
    /*! @param timing delays and limits
     *  @param self spreads the entries over equally good sources */
    transfer_plan(const transfer_timing& timing, std::uint64_t self)
        : m_timing{timing}, m_self{self} {}

    /*! @brief A peer has a version that is newer than the one in force.
     *  @param which the version
     *  @param by the peer
     *  @param now current time */
    void announced(const config_order& which, const transfer_source& by,
                   time_point now);

    /*! @brief A busy source named others that should have the version. */
    void referred(std::span<const transfer_source> holders);

    /*! @brief A version is in force now. What is newer is still fetched. */
    void adopted(const config_order& in_force);

    /*! @brief Forgets what was announced. */
    void clear();

    /*! @brief Selects the source of a transfer to start now.
     *  @param now current time
     *  @return the source, which then counts as having a transfer in progress;
     *  none if there is nothing to start */
    std::optional<address> next(time_point now);

    /*! @brief A part of a transfer arrived. */
    void input_received(const address& from, time_point now);

    /*! @brief A transfer ended. */
    void ended(const address& from, transfer_end how, time_point now);

    /*! @brief Whether a newer version was announced that is not in force. */
    [[nodiscard]] bool pending() const { return m_pending_since.has_value(); }

    /*! @brief Time since the first announcement; zero if none is pending. */
    [[nodiscard]] duration pending_for(time_point now) const {
        return m_pending_since ? now - *m_pending_since : duration{0};
    }

    /*! @brief Whether the peers take so long that the store should be asked.
     *  @param now current time */
    [[nodiscard]] bool overdue(time_point now) const;

private:
    struct source {
        config_order m_order; // newest that it announced
        std::optional<time_point>
            m_last_input;        // last one; set during a transfer
        time_point m_not_before; // no transfer before
        unsigned m_transfers{};  // started so far
        bool m_own_zone{};
    };

    [[nodiscard]] bool progressing(time_point now) const;
    [[nodiscard]] bool waits_for_own_zone(time_point now) const;

    transfer_timing m_timing;
    std::uint64_t m_self;
    // Invariant: set exactly while m_wanted is newer than what is in force.
    std::optional<time_point> m_pending_since;
    config_order m_wanted;
    time_point m_wanted_since;
    std::map<address, source> m_sources;
    // Until a transfer of what is pending stalls or brings nothing: then the
    // own zone may be cut off or behind.
    bool m_prefers_own_zone{true};
};

} // namespace skylark

#endif
