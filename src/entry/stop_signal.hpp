/*! @file
 *  The signal to end the process. Its handler notes the time; the loop acts on
 *  it in a later turn. */
#ifndef SKYLARK_ENTRY_STOP_SIGNAL_HPP
#define SKYLARK_ENTRY_STOP_SIGNAL_HPP

#include <atomic>
#include <cstdint>

namespace skylark::entry {

/*! @brief When the handler first ran, on the event loop's clock, in
 *  microseconds; 0 before that. */
inline std::atomic<std::int64_t> stop_signalled_us{0};
static_assert(std::atomic<std::int64_t>::is_always_lock_free);

} // namespace skylark::entry

#endif
