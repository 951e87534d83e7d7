/*! @file
 *  What an entry of the overload model knows, kept by the product's own
 *  classes. */
#ifndef STANDIN_ENTRY_MODEL_HPP
#define STANDIN_ENTRY_MODEL_HPP

#include <optional>
#include <vector>

#include <skylark/load/health_record.hpp>
#include <skylark/load/room_estimator.hpp>
#include <skylark/route/probe_step.hpp>
#include <skylark/rule/deadline_range.hpp>

namespace standin {

/*! @brief A caller with one request. */
struct caller {
    skylark::time_point m_first;
    skylark::duration m_deadline; //!< chosen at the first request
    std::uint32_t m_returns{};
};

/*! @brief One try of a caller, at one entry. */
struct request {
    caller m_caller;
    std::uint32_t m_entry{};
    skylark::time_point m_arrived;
    skylark::time_point m_target_time;
    std::vector<std::uint32_t> m_probed;
    std::vector<std::uint32_t> m_overdue;
    skylark::load_report m_report; //!< of the upstream, before it was sent
};

/*! @brief What an entry knows of an upstream. */
struct known_upstream {
    std::optional<skylark::load_report> m_report;
    skylark::time_point m_taken;
    bool m_suspect{};
    std::uint32_t m_in_flight{};
    std::uint32_t m_sent_since_report{};
    skylark::health_record m_health;
};

/*! @brief What an entry has learnt. */
struct entry {
    skylark::room_estimator m_room;
    skylark::deadline_range m_range;
    skylark::service_time_estimator m_times;
    skylark::time_point m_last_refusal;
    std::vector<known_upstream> m_known;
};

/*! @brief Upstreams as the entry sees them, for plan_probe_step(). */
std::vector<skylark::probe_candidate> candidates(const entry& at,
                                                 const request& of, bool scarce,
                                                 skylark::time_point now);

} // namespace standin

#endif
