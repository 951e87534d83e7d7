// Head of a request without a body, read before h2o hands the request over.
#ifndef SKYLARK_IO_BODILESS_REQUEST_HPP
#define SKYLARK_IO_BODILESS_REQUEST_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "io/http_message.hpp"
#include "io/parse_state.hpp"

namespace skylark::io {

/*! @brief Reads a GET or HEAD request of HTTP/1.1 without a body.
 *
 *  Accepts only requests whose end and meaning are certain to be the same for
 *  h2o: origin form, one Host field, no folded fields, no field that frames a
 *  body, changes the protocol, expects an interim response or ends the
 *  connection. */
class bodiless_request {
public:
    /*! @brief Reads a request.
     *  @param input bytes from the end of the request before it; copied
     *  @param head_limit most bytes of all fields together
     *  @return found, more if the head is incomplete, or malformed, also for
     *  every request of another kind */
    parse_state read(std::string_view input, std::size_t head_limit);

    /*! @brief Bytes of the request, after read() returned found. */
    [[nodiscard]] std::size_t size() const { return m_size; }

    /*! @brief The request as h2o presents it; valid until the next read(). */
    [[nodiscard]] request_view view() const;

private:
    // Takes a field in; false if it leaves the request uncertain.
    bool add_field(header_view field);

    std::string m_text; // field names in lower case, as h2o's
    std::size_t m_size{};
    std::string_view m_method;
    std::string_view m_path;
    std::string_view m_host;
    std::vector<header_view> m_headers;
};

} // namespace skylark::io

#endif
