// What an HTTP client connection reports, as a variant.
#ifndef SKYLARK_IO_CLIENT_EVENT_HPP
#define SKYLARK_IO_CLIENT_EVENT_HPP

#include <string_view>
#include <variant>

#include "io/http_message.hpp"

namespace skylark::io {

/*! @brief The connection is established; a request may be sent. */
struct connected {};

/*! @brief The head of the final response has arrived; views die with the
 *  call. */
struct head_received {
    const response_head& m_head;
};

/*! @brief A piece of the body; the view dies with the call. */
struct body_received {
    std::string_view m_piece;
};

/*! @brief The response is whole. */
struct response_complete {
    bool m_reusable;  //!< another request may be sent
    bool m_unchecked; //!< only the connection's end marked the body's end
};

/*! @brief The connection is of no further use and already closed. */
struct connection_failed {
    //! True when a byte of the present request was given to the kernel.
    bool m_bytes_sent;
    bool m_head_seen;         //!< whether the response had begun
    std::string_view m_cause; //!< for the log
};

using client_event = std::variant<connected, head_received, body_received,
                                  response_complete, connection_failed>;

} // namespace skylark::io

#endif
