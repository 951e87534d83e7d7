// Experiment file of the load stand-in: what is asked, how often, how long.
#ifndef STANDIN_EXPERIMENT_HPP
#define STANDIN_EXPERIMENT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/core/time.hpp>

namespace standin {

/*! @brief One kind of request, sent at a fixed mean rate. */
struct flow {
    std::string m_name;
    std::string m_method{"GET"};
    std::string m_path;
    std::string m_header; //!< "Name: value", empty for none
    double m_rate{};      //!< requests a second
    bool m_keyed{};       //!< each one carries a key; never repeated in doubt
    std::int64_t m_deadline_ms{2000};
    std::int64_t m_body_bytes{};
    double m_from_s{};     //!< begins this long after the run's start
    double m_until_s{1e9}; //!< ends this long after the run's start
    //! Bytes a second that the caller reads; 0 as fast as it can.
    std::int64_t m_read_bytes{};
};

/*! @brief One run. */
struct experiment {
    double m_duration_s{10};
    double m_warmup_s{1}; //!< not measured
    std::uint64_t m_seed{1};
    std::uint32_t m_callers_per_zone{4};
    std::vector<std::string> m_zones;
    std::vector<skylark::address> m_entries; //!< asked first
    bool m_direct{}; //!< the entries are upstreams: no GET /entries
    std::vector<flow> m_flows;
};

/*! @brief Reads an experiment file.
 *  @param path TOML file
 *  @return the experiment, or the first error */
skylark::parsed<experiment> load_experiment(const std::string& path);

} // namespace standin

#endif
