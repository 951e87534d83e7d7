// Heads of HTTP messages as views, shared by server and client.
#ifndef SKYLARK_IO_HTTP_MESSAGE_HPP
#define SKYLARK_IO_HTTP_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace skylark::io {

/*! @brief One header field; the texts belong to someone else. */
struct header_view {
    std::string_view m_name;
    std::string_view m_value;
};

/*! @brief One header field that owns its texts. */
struct header {
    std::string m_name;
    std::string m_value;
};

/*! @brief A request as the server received it, body included. */
struct request_view {
    std::string_view m_method;
    std::string_view m_path; //!< with the query
    std::string_view m_body;
    std::span<const header_view> m_headers;
    std::string_view m_host; //!< with the port, if one was given
};

/*! @brief Head of a response as the client received it. */
struct response_head {
    int m_status{};
    std::span<const header_view> m_headers;
    std::optional<std::uint64_t> m_length; //!< none: chunked or until close
    bool m_framed{true}; //!< false: only the connection's end marks the end
};

/*! @brief Whether two header names are the same but for case.
 *  @param left one name
 *  @param right the other */
bool same_name(std::string_view left, std::string_view right);

/*! @brief Value of a header.
 *  @param headers where to look
 *  @param name name in any case
 *  @return the first value, empty when there is none */
std::string_view find_header(std::span<const header_view> headers,
                             std::string_view name);

} // namespace skylark::io

#endif
