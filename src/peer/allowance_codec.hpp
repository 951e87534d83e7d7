// Encodes and decodes messages about tokens of rate limits.
#ifndef SKYLARK_PEER_ALLOWANCE_CODEC_HPP
#define SKYLARK_PEER_ALLOWANCE_CODEC_HPP

#include <cstdint>
#include <span>
#include <vector>

#include <skylark/allowance/message.hpp>
#include <skylark/core/error.hpp>

namespace skylark::peer {

/*! @brief Encodes a message for one datagram, of at most 100 bytes. */
std::vector<std::uint8_t> encode(const allowance_message& message);

/*! @brief Whether a datagram is to be decoded by decode_allowance(). */
bool is_allowance(std::span<const std::uint8_t> bytes);

/*! @brief Decodes a datagram.
 *  @return the message, or an error if the bytes are not a valid one */
parsed<allowance_message> decode_allowance(std::span<const std::uint8_t> bytes);

} // namespace skylark::peer

#endif
