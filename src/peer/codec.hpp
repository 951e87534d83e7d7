// Heartbeats to bytes and back, in Thrift's compact protocol.
#ifndef SKYLARK_PEER_CODEC_HPP
#define SKYLARK_PEER_CODEC_HPP

#include <cstdint>
#include <span>
#include <vector>

#include <skylark/core/error.hpp>
#include <skylark/member/heartbeat.hpp>

namespace skylark::peer {

/*! @brief Encodes a heartbeat for one datagram. */
std::vector<std::uint8_t> encode(const heartbeat& message);

/*! @brief Decodes a datagram.
 *  @param bytes payload as received
 *  @return the heartbeat, or why the bytes are none */
parsed<heartbeat> decode(std::span<const std::uint8_t> bytes);

} // namespace skylark::peer

#endif
