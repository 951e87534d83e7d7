// Limits on one request.
#ifndef SKYLARK_IO_REQUEST_BOUNDS_HPP
#define SKYLARK_IO_REQUEST_BOUNDS_HPP

#include <cstddef>

namespace skylark::io {

/*! @brief Longest head and body of a request, in bytes. */
struct request_bounds {
    std::size_t m_head{}; //!< of all header fields
    std::size_t m_body{};

    [[nodiscard]] constexpr std::size_t total() const {
        return m_head + m_body;
    }
};

} // namespace skylark::io

#endif
