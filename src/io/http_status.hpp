// HTTP statuses that the project speaks.
#ifndef SKYLARK_IO_HTTP_STATUS_HPP
#define SKYLARK_IO_HTTP_STATUS_HPP

namespace skylark::io::status {

inline constexpr int ok = 200;
inline constexpr int no_content = 204;
inline constexpr int first_redirect = 300; //!< above all successes
inline constexpr int not_modified = 304;
inline constexpr int bad_request = 400;
inline constexpr int not_found = 404;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int too_large = 413;
inline constexpr int misdirected = 421;
inline constexpr int head_too_large = 431;
inline constexpr int first_failure = 500; //!< lowest failure of a server
inline constexpr int failed = 500;
inline constexpr int bad_gateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gateway_timeout = 504;

} // namespace skylark::io::status

#endif
