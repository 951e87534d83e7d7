// What an upstream's answer says besides its payload.
#ifndef SKYLARK_ENTRY_EXCHANGE_SIGNS_HPP
#define SKYLARK_ENTRY_EXCHANGE_SIGNS_HPP

#include <optional>
#include <string>

#include <skylark/core/time.hpp>
#include <skylark/load/report.hpp>

namespace skylark::entry {

/*! @brief Signs of an answer to a request. */
struct answer_signs {
    bool m_unusable{};    //!< answers another request, or is not whole
    bool m_refused{};     //!< says that the request did not run
    bool m_misdirected{}; //!< another instance has the address
    std::optional<load_report> m_report;
};

/*! @brief Signs of an answer to a health check. */
struct health_signs {
    bool m_foreign{}; //!< answers an earlier request of the connection
    bool m_healthy{};
    std::string m_instance; //!< who answered; empty when it was not said
    std::optional<load_report> m_report;
    std::optional<duration> m_cold_left; //!< rest of its cold start
};

} // namespace skylark::entry

#endif
