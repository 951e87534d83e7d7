// HTTP status codes that the project sends or checks for.
#ifndef SKYLARK_IO_HTTP_STATUS_HPP
#define SKYLARK_IO_HTTP_STATUS_HPP

namespace skylark::io::status {

inline constexpr int switching_protocols = 101;
inline constexpr int ok = 200;
inline constexpr int no_content = 204;
inline constexpr int first_redirect = 300; //!< all 2xx are below
inline constexpr int not_modified = 304;
inline constexpr int bad_request = 400;
inline constexpr int unauthorized = 401;
inline constexpr int not_found = 404;
inline constexpr int request_timeout = 408;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int content_too_large = 413;
inline constexpr int misdirected = 421;
inline constexpr int too_many_requests = 429;
inline constexpr int head_too_large = 431;
inline constexpr int first_server_error = 500; //!< lowest 5xx
inline constexpr int internal_server_error = 500;
inline constexpr int bad_gateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gateway_timeout = 504;

} // namespace skylark::io::status

#endif
