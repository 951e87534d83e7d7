// Heads of HTTP messages, shared by server and client.
#ifndef SKYLARK_IO_HTTP_MESSAGE_HPP
#define SKYLARK_IO_HTTP_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace skylark::io {

/*! @brief A header field whose name and value are stored elsewhere. */
struct header_view {
    std::string_view m_name;
    std::string_view m_value;
};

/*! @brief A header field that owns its name and value. */
struct header {
    std::string m_name;
    std::string m_value;
};

/*! @brief A received request, including its body. */
struct request_view {
    std::string_view m_method;
    std::string_view m_path; //!< including the query
    std::string_view m_body;
    std::span<const header_view> m_headers;
    std::string_view m_host; //!< including the port, if one was given
};

/*! @brief Head of a received response. */
struct response_head {
    int m_status{};
    std::span<const header_view> m_headers;
    //! Bytes of the body, none if it is chunked or close-delimited.
    std::optional<std::uint64_t> m_length;
    //! False if the body is close-delimited: only the close of the connection
    //! marks its end.
    bool m_framed{true};
};

/*! @brief Whether two texts are equal when the case of ASCII letters is
 *  ignored. */
bool equal_ignoring_case(std::string_view left, std::string_view right);

/*! @brief Finds the value of a header.
 *  @param headers fields to search
 *  @param name name of the header in any case
 *  @return the first value, empty if the header is absent */
std::string_view find_header(std::span<const header_view> headers,
                             std::string_view name);

} // namespace skylark::io

#endif
