/*! @file
 *  State shared by the components of one entry; owned by the node. */
#ifndef SKYLARK_ENTRY_CONTEXT_HPP
#define SKYLARK_ENTRY_CONTEXT_HPP

#include <optional>

#include <skylark/config/adoption.hpp>
#include <skylark/discovery/instance.hpp>
#include <skylark/limit/drain_schedule.hpp>
#include <skylark/load/path_table.hpp>
#include <skylark/team/directory.hpp>

#include "entry/allowance_service.hpp"
#include "entry/dialect.hpp"
#include "entry/fleet.hpp"
#include "entry/journal.hpp"
#include "entry/metrics.hpp"
#include "entry/packed_document.hpp"
#include "entry/process_memory.hpp"
#include "entry/rollouts.hpp"
#include "entry/settings.hpp"
#include "entry/upstream_table.hpp"
#include "io/event_loop.hpp"
#include "io/receive_windows.hpp"

namespace skylark::entry {

/*! @brief Shared state. Components hold a reference to it, so it must outlive
 *  them. */
struct context {
    explicit context(io::event_loop& loop, const settings& from)
        : m_loop{loop}, m_settings{from}, m_dialect{dialect_of(from)},
          m_journal{from.m_name, from.m_log_level}, m_fleet{loop, from,
                                                            m_journal,
                                                            m_metrics},
          m_allowances{loop, m_fleet, m_journal, m_metrics,
                       id_of(from.m_name).value()},
          m_upstreams{id_of(from.m_name), from.m_zone}, m_paths{from.m_zone},
          m_windows{receive_window_bytes(read_machine_memory())} {}

    io::event_loop& m_loop;
    settings m_settings;
    dialect m_dialect; //!< interface to callers and upstreams
    metrics m_metrics;
    journal m_journal;
    fleet m_fleet;
    allowance_service m_allowances;
    config_adoption m_config;
    team_directory m_teams;    //!< of m_config
    packed_document m_packed;  //!< of m_config, for peers
    bool m_newer_announced{};  //!< by a peer, and not offered yet
    instance_list m_instances; //!< latest list; index 0 until there is one
    upstream_table m_upstreams;
    path_table m_paths; //!< to the zones of upstreams, from probes
    rollouts m_rollouts{*this};
    io::receive_windows m_windows; //!< of callers and upstreams
    //! Set from the begin of the graceful shutdown on.
    std::optional<drain_schedule> m_drain;
    bool m_isolated{}; //!< reaches neither the store nor a majority

    /*! @brief Whether a request that has a deadline may be passed on. */
    [[nodiscard]] bool may_pass_on(time_point deadline) const {
        return !m_drain || m_drain->may_pass_on(deadline);
    }
};

} // namespace skylark::entry

#endif
