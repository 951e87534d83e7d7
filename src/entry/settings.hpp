// Settings of one entry instance, read from a TOML file and checked.
#ifndef SKYLARK_ENTRY_SETTINGS_HPP
#define SKYLARK_ENTRY_SETTINGS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/config/config.hpp>
#include <skylark/core/address.hpp>
#include <skylark/member/timing.hpp>

namespace skylark::entry {

/*! @brief Whose store and interface the entry uses. */
enum class deployment : std::uint8_t {
    native,  //!< the product's own interface; a Consul-like store
    platform //!< the users' platform
};

/*! @brief What an entry learns from its settings. */
struct settings {
    std::string m_name;   //!< unique in the deployment
    std::string m_zone;   //!< availability zone of this instance
    std::string m_region; //!< for operators; not used in decisions
    //! Price of a request's traffic to another zone, as the response time that
    //! is worth as much; 0: zones are chosen without regard to it.
    duration m_zone_price{0};
    deployment m_deployment{deployment::native};
    //! Names of all availability zones; needed where the store lists none.
    std::vector<std::string> m_zones;
    //! Load questions a second that one upstream bears from all entries;
    //! used where the store's configuration does not say.
    std::uint32_t m_questions_per_upstream{60};
    //! A change in the store must be in force everywhere within this time.
    duration m_apply_limit{seconds{2}};
    address m_callers; //!< HTTP for callers
    //! HTTP for lookups and readiness on addresses of their own, if set.
    std::optional<address> m_lookup;
    std::optional<address> m_ready;
    address m_control;            //!< HTTP for operators and peers
    address m_peer;               //!< UDP for heartbeats
    address m_platform;           //!< the platform's store
    std::vector<address> m_seeds; //!< other entries' heartbeat addresses
    //! Processor time that this instance may use, in cores.
    double m_cores{1.0};
    bool m_bootstrap{}; //!< the whole deployment starts for the first time
    std::string m_log_level{"info"};
    std::uint64_t m_seed{0}; //!< of random numbers; 0 takes one from the name
    member_timing m_timing;
    duration m_isolation_limit{defaults::isolation_limit};
    duration m_entries_ttl{defaults::entries_ttl};
    duration m_drain_limit{seconds{30}}; //!< longest graceful shutdown
    //! Time after a start in which a supervisor may still count the stop
    //! before.
    duration m_settling_time{seconds{3}};
    //! Memory that the process may use, in bytes; 0: not known. Not from the
    //! file.
    std::uint64_t m_machine_memory{};
    //! Received bytes of all requests that are not over.
    std::size_t m_input_bytes{defaults::input_bytes};
    //! Bytes of all answers that callers have not read, here and in the kernel.
    std::size_t m_answer_bytes{defaults::answer_bytes};
    //! Requests of one caller's connection that are in progress at a time; 0
    //! and 1: one after another.
    std::size_t m_pipelined_requests{8};
};

/*! @brief Reads settings.
 *  @param text TOML
 *  @param file name for messages
 *  @param machine_memory that the process may use, in bytes; 0: not known
 *  @return the settings, or the first error with file and line */
parsed<settings> parse_settings(std::string_view text, std::string_view file,
                                std::uint64_t machine_memory = 0);

/*! @brief Reads a settings file.
 *  @param path where it is
 *  @return the settings, or the first error */
parsed<settings> load_settings(const std::string& path);

} // namespace skylark::entry

#endif
