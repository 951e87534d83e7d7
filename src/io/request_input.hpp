// Input of a connection behind the request that is in progress on it.
#ifndef SKYLARK_IO_REQUEST_INPUT_HPP
#define SKYLARK_IO_REQUEST_INPUT_HPP

#include <cstddef>
#include <string_view>

#include "io/native.hpp"

namespace skylark::io::internal {

/*! @brief Number of bytes that the caller has sent behind a request, read by
 *  h2o or held by the kernel. Valid while the request is in progress, as h2o
 *  reads no further then. */
std::size_t input_behind(const h2o_req_t& request);

/*! @brief The part of it that h2o has read; valid as above. */
std::string_view buffered_behind(const h2o_req_t& request);

} // namespace skylark::io::internal

#endif
