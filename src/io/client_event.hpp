// Events that an HTTP client connection reports to its handler.
#ifndef SKYLARK_IO_CLIENT_EVENT_HPP
#define SKYLARK_IO_CLIENT_EVENT_HPP

#include <string_view>
#include <variant>

#include "io/http_message.hpp"

namespace skylark::io {

/*! @brief The connection is established; a request may be sent. */
struct connected {};

/*! @brief The head of the final (not 1xx) response was received. The views in
 *  m_head are valid only during the handler's call. */
struct head_received {
    const response_head& m_head;
};

/*! @brief Part of the body was received; chunked coding is removed. The view
 *  is valid only during the handler's call. */
struct body_received {
    std::string_view m_piece;
};

/*! @brief The response was received completely. */
struct response_complete {
    //! Whether another request may be sent; otherwise the connection is closed.
    bool m_reusable;
    //! Whether only the close of the connection marked the end of the body, so
    //! that a truncated body cannot be told from a complete one.
    bool m_close_delimited;
};

/*! @brief The connection failed and is already closed. */
struct connection_failed {
    //! Whether sending of the current request had begun, so that the server
    //! may have received it.
    bool m_bytes_sent;
    bool m_head_received;     //!< whether head_received was reported
    std::string_view m_cause; //!< for logs; valid only during the call
};

using client_event = std::variant<connected, head_received, body_received,
                                  response_complete, connection_failed>;

} // namespace skylark::io

#endif
