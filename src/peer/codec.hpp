// Encodes and decodes messages between entries in Thrift's compact protocol.
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
 *  @return the heartbeat, or an error if the bytes are not a valid one */
parsed<heartbeat> decode(std::span<const std::uint8_t> bytes);

/*! @brief Encodes changes of the instance list.
 *  @param changes changes to encode
 *  @param now current time; ends of cold starts and removals are encoded as
 *  durations from it */
std::vector<std::uint8_t> encode(const instance_changes& changes,
                                 time_point now);

/*! @brief Decodes changes of the instance list.
 *  @param bytes payload as received
 *  @param now current time, to which the encoded durations are added
 *  @return the changes, or an error if the bytes are not valid ones */
parsed<instance_changes> decode_changes(std::span<const std::uint8_t> bytes,
                                        time_point now);

} // namespace skylark::peer

#endif
