/*! @file
 *  Roll-out order: moves a service's requests to another version. */
#ifndef SKYLARK_CONFIG_ROLLOUT_ORDER_HPP
#define SKYLARK_CONFIG_ROLLOUT_ORDER_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Progress of a roll-out as recorded in the store. */
enum class rollout_stage : std::uint8_t {
    ordered,    //!< nothing is recorded yet
    canary,     //!< a part of the requests goes to the target version
    promoted,   //!< new requests go to the target version
    completed,  //!< the earlier version gets no requests any more
    rolled_back //!< the target version gets no requests any more
};

/*! @brief Name of a stage in documents, records, logs and commands. */
constexpr std::string_view name_of(rollout_stage value) {
    switch (value) {
    case rollout_stage::ordered:
        return "ordered";
    case rollout_stage::canary:
        return "canary";
    case rollout_stage::promoted:
        return "promoted";
    case rollout_stage::completed:
        return "completed";
    case rollout_stage::rolled_back:
        break;
    }
    return "rolled_back";
}

/*! @brief Whether a stage is the last one of its order. */
constexpr bool is_final(rollout_stage value) {
    return value == rollout_stage::completed ||
           value == rollout_stage::rolled_back;
}

/*! @brief One order of the operators, with what entries recorded of it. */
struct rollout_order {
    std::string m_service;
    std::string m_target_version;
    duration m_duration{};      //!< from the order until its deadline
    std::uint64_t m_revision{}; //!< the store's, of the order
    rollout_stage m_stage{rollout_stage::ordered};
    //! The store's revision of the recorded status; 0: there is none.
    std::uint64_t m_status_revision{};
    //! When the order was first seen, in milliseconds of the wall clock of the
    //! entry that recorded it; 0: not recorded.
    std::uint64_t m_seen_ms{};

    bool operator==(const rollout_order&) const = default;
};

} // namespace skylark

#endif
