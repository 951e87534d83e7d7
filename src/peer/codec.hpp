// What entries send each other, to bytes and back, in Thrift's compact
// protocol.
#ifndef SKYLARK_PEER_CODEC_HPP
#define SKYLARK_PEER_CODEC_HPP

#include <cstdint>
#include <span>
#include <vector>

#include <skylark/core/error.hpp>
#include <skylark/discovery/instance_log.hpp>
#include <skylark/member/heartbeat.hpp>

namespace skylark::peer {

/*! @brief Encodes a heartbeat for one datagram. */
std::vector<std::uint8_t> encode(const heartbeat& message);

/*! @brief Decodes a datagram.
 *  @param bytes payload as received
 *  @return the heartbeat, or why the bytes are none */
parsed<heartbeat> decode(std::span<const std::uint8_t> bytes);

/*! @brief Encodes changes of the instance list.
 *  @param changes what to send
 *  @param now the present; cold starts travel as what is left of them */
std::vector<std::uint8_t> encode(const instance_changes& changes,
                                 time_point now);

/*! @brief Decodes changes of the instance list.
 *  @param bytes as received
 *  @param now the present
 *  @return the changes, or why the bytes are none */
parsed<instance_changes> decode_changes(std::span<const std::uint8_t> bytes,
                                        time_point now);

} // namespace skylark::peer

#endif
