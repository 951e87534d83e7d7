// Information in an upstream's response besides the payload.
#ifndef SKYLARK_ENTRY_RESPONSE_INFO_HPP
#define SKYLARK_ENTRY_RESPONSE_INFO_HPP

#include <optional>
#include <string>

#include <skylark/core/time.hpp>
#include <skylark/load/report.hpp>

#include "entry/availability_info.hpp"

namespace skylark::entry {

/*! @brief Information in the response to a forwarded request. */
struct response_info {
    bool m_unusable{};    //!< belongs to another request or is incomplete
    bool m_foreign{};     //!< names another request
    bool m_nameless{};    //!< a refusal that names no request
    bool m_refused{};     //!< states that the request did not run
    bool m_misdirected{}; //!< another instance listens on the address
    std::optional<load_report> m_report;
    availability_info m_availability; //!< of the upstream that was meant
};

/*! @brief Information in the response to a health check. */
struct health_info {
    bool m_mismatched{}; //!< belongs to an earlier request of the connection
    bool m_healthy{};
    std::string m_instance; //!< id of the responding instance; may be empty
    std::optional<load_report> m_report;
    std::optional<duration> m_cold_start_left; //!< remaining cold start
    availability_info m_availability;          //!< of the responding instance
};

} // namespace skylark::entry

#endif
