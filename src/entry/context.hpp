// What the parts of one entry share; owned by the node.
#ifndef SKYLARK_ENTRY_CONTEXT_HPP
#define SKYLARK_ENTRY_CONTEXT_HPP

#include <skylark/config/adoption.hpp>
#include <skylark/discovery/instance.hpp>

#include "entry/dialect.hpp"
#include "entry/fleet.hpp"
#include "entry/journal.hpp"
#include "entry/metrics.hpp"
#include "entry/settings.hpp"
#include "entry/upstream_table.hpp"
#include "io/event_loop.hpp"

namespace skylark::entry {

/*! @brief Parts that others refer to. */
struct context {
    explicit context(io::event_loop& loop, const settings& from)
        : m_loop{loop}, m_settings{from}, m_dialect{dialect_of(from)},
          m_journal{from.m_name, from.m_log_level}, m_fleet{loop, from,
                                                            m_journal,
                                                            m_metrics},
          m_upstreams{id_of(from.m_name), from.m_zone} {}

    io::event_loop& m_loop;
    settings m_settings;
    dialect m_dialect; //!< towards callers and upstreams
    metrics m_metrics;
    journal m_journal;
    fleet m_fleet;
    config_adoption m_config;
    instance_list m_instances;
    upstream_table m_upstreams;
    bool m_draining{};
    bool m_isolated{};
};

} // namespace skylark::entry

#endif
