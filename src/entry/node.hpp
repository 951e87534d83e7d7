// One entry instance: wires its parts together and runs its life.
#ifndef SKYLARK_ENTRY_NODE_HPP
#define SKYLARK_ENTRY_NODE_HPP

#include <skylark/limit/hold_up_record.hpp>
#include <skylark/limit/memory_level.hpp>
#include <skylark/member/listing_policy.hpp>

#include "entry/configurator.hpp"
#include "entry/context.hpp"
#include "entry/control.hpp"
#include "entry/forwarder.hpp"
#include "entry/lookup.hpp"
#include "entry/prober.hpp"
#include "entry/rollout_coordinator.hpp"
#include "io/http_server.hpp"
#include "store/lease_holder.hpp"

namespace skylark::entry {

/*! @brief The process. */
class node {
public:
    node(io::event_loop& loop, const settings& from);

    /*! @brief Binds all sockets and starts.
     *  @return nothing, or the address that could not be bound */
    parsed<void> start();

    /*! @brief Reads the settings again and takes over what may change while
     *  the entry runs; a file that does not hold changes nothing.
     *  @param path of the settings file */
    void reload(const std::string& path);

    /*! @brief Begins the graceful shutdown; the loop is stopped at its end.
     *  @param signalled when the process handled the signal to end */
    void drain(time_point signalled = io::event_loop::now());

private:
    void serve_caller(exchange_id key, const io::request_view& request);
    void adopt();
    void prepare_place();
    void watch_place();
    void note_place(store::lease_event what);
    void watch_isolation();
    void update_gauges();
    // Gauges and lines that tell what the process does to its machine.
    void observe_process();
    void observe_memory();
    void observe_work();
    void paused(duration gap);
    void finish_drain_when_idle();
    void finish_when_closed();
    // Notes a step of the shutdown, with the requests in progress by stage.
    void note_drain(std::string_view step);

    context m_shared;
    io::http_server m_callers;
    forwarder m_forwarder;
    configurator m_configurator;
    prober m_prober;
    control m_control;
    lookup m_lookup;
    rollout_coordinator m_rollout_coordinator;
    std::optional<store::lease_holder> m_place; //!< in the store's list
    listing_policy m_listing_policy;
    hold_up_record m_hold_ups;
    hold_up_record m_slow_iterations;
    memory_level m_memory_level;
    time_point m_last_in_progress{}; //!< during the end of the shutdown
    //! Since when the loop turns only to read what is there.
    std::optional<time_point> m_last_turns;
};

} // namespace skylark::entry

#endif
