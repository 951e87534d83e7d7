// Records the stages of roll-outs in the platform's store while this entry is
// the first member.
#ifndef SKYLARK_ENTRY_ROLLOUT_COORDINATOR_HPP
#define SKYLARK_ENTRY_ROLLOUT_COORDINATOR_HPP

#include <map>
#include <string>

#include "entry/context.hpp"
#include "store/rollout_writer.hpp"

namespace skylark::entry {

/*! @brief Judges at each step and records what follows. Keeps no state that
 *  another entry would need. */
class rollout_coordinator {
public:
    explicit rollout_coordinator(context& shared);

    /*! @brief Starts the periodic step. */
    void start();

private:
    // Writes for one service.
    struct write_state {
        bool m_in_progress{};
        time_point m_next; // no write before this time
        // Of the status that the last write was based on.
        std::uint64_t m_status_revision{};
    };

    void step();
    void record(rollout_state& state, time_point now);
    [[nodiscard]] bool hears_most() const;
    void written(const std::string& service, rollout_stage stage,
                 const store::write_result& result);
    void update_gauges();

    context& m_shared;
    store::rollout_writer m_writer;
    time_point m_started{io::event_loop::now()};
    std::map<std::string, write_state> m_writes; // by service
};

} // namespace skylark::entry

#endif
