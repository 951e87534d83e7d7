/*! @file
 *  Build configuration: version, and defaults that a build may override.
 */
#ifndef SKYLARK_CONFIG_CONFIG_HPP
#define SKYLARK_CONFIG_CONFIG_HPP

#include <cstddef>
#include <string_view>

#include <skylark/core/time.hpp>

namespace skylark {

inline constexpr std::string_view version = "0.1.0";

namespace defaults {

inline constexpr duration heartbeat_period = milliseconds{200};
//! An owner stops using its shares this long after a majority last answered.
inline constexpr duration share_self_stop = milliseconds{1000};
//! Shares of a member that no majority has answered for this long pass on.
//! Exceeds share_self_stop by the longest cancel time of an upstream.
inline constexpr duration share_hold_down = milliseconds{2000};
//! A longer gap between event loop iterations counts as a process pause.
inline constexpr duration pause_limit = milliseconds{400};
//! An entry without store and majority for this long refuses new work.
inline constexpr duration isolation_limit = milliseconds{2500};
//! How long callers may cache the response of GET /entries.
inline constexpr duration entries_ttl = milliseconds{2000};
//! A connection idle for longer gets no non-idempotent requests.
inline constexpr duration fresh_connection_age = milliseconds{500};
inline constexpr duration idle_connection_limit = seconds{20};
//! Pause before the next call to a store that does not answer.
inline constexpr duration store_retry_wait = milliseconds{500};
inline constexpr std::size_t document_bytes = std::size_t{1} << 20U;
inline constexpr std::size_t body_bytes = std::size_t{1} << 20U;
//! Limit on buffered request bytes in one entry: a fifth of the memory of the
//! smallest known instances, 160 MB.
inline constexpr std::size_t input_bytes = std::size_t{32} << 20U;
//! The same for answers that their callers have not read.
inline constexpr std::size_t answer_bytes = std::size_t{32} << 20U;
inline constexpr std::size_t event_ring = 4096; //!< events kept in memory
//! Log lines per second: about three for each request that an entry on a tenth
//! of a core serves. Further lines are counted and dropped.
inline constexpr double decision_lines_per_s = 200.0;
inline constexpr double change_lines_per_s = 100.0;
//! Anyone can cause such lines; a few show the paths that are asked for.
inline constexpr double unmatched_lines_per_s = 2.0;
//! Anyone can cause these as well; a caller whose key was removed shows in
//! some.
inline constexpr double unauthenticated_lines_per_s = 10.0;
//! Anyone can cause these too; a group of callers shows as more than one line.
inline constexpr double rejected_lines_per_s = 10.0;
inline constexpr double discarded_lines_per_s = 10.0;
//! One for each request that an entry serves at a time.
inline constexpr double cut_lines_per_s = 1000.0;

} // namespace defaults

} // namespace skylark

#endif
