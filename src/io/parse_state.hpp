// Result of one step of an incremental parser.
#ifndef SKYLARK_IO_PARSE_STATE_HPP
#define SKYLARK_IO_PARSE_STATE_HPP

#include <cstdint>

namespace skylark::io {

/*! @brief Result of a parsing step. */
enum class parse_state : std::uint8_t { more, found, malformed };

} // namespace skylark::io

#endif
