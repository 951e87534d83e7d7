// Thrift's compact protocol over memory buffers, and conversions to and from
// Thrift's signed integers.
#ifndef SKYLARK_PEER_COMPACT_HPP
#define SKYLARK_PEER_COMPACT_HPP

#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <skylark/core/address.hpp>
#include <skylark/core/error.hpp>
#include <skylark/core/time.hpp>

namespace skylark::peer::internal {

inline std::int64_t to_wire(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

inline std::uint64_t from_wire(std::int64_t value) {
    return static_cast<std::uint64_t>(value);
}

inline bool is_port(std::int32_t value) {
    return value >= 0 && value <= std::numeric_limits<std::uint16_t>::max();
}

// An age or a time left; beyond a year it says no more.
inline duration make_duration(std::int64_t us) {
    constexpr duration longest = std::chrono::hours{24 * 365};
    return std::clamp(duration{us}, -longest, longest);
}

inline address make_address(std::int32_t ip, std::int32_t port) {
    return {static_cast<std::uint32_t>(ip), static_cast<std::uint16_t>(port)};
}

template <class Message>
std::vector<std::uint8_t> serialize(const Message& message) {
    const auto buffer =
        std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol{buffer};
    message.write(&protocol);
    std::uint8_t* bytes = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&bytes, &size);
    return {bytes, bytes + size};
}

template <class Message>
parsed<Message> deserialize(std::span<const std::uint8_t> bytes,
                            std::string_view what) {
    const auto size = static_cast<std::uint32_t>(bytes.size());
    // The buffer only reads the bytes, but Thrift's signature lacks the const.
    const auto buffer =
        std::make_shared<apache::thrift::transport::TMemoryBuffer>(
            const_cast<std::uint8_t*>(bytes.data()), size);
    // Thrift makes room for all items that a list claims before it reads them.
    // Each takes a byte at least.
    const auto most = static_cast<std::int32_t>(std::max(1U, size));
    apache::thrift::protocol::TCompactProtocol protocol{buffer, most, most};
    Message out;
    try {
        out.read(&protocol);
    } catch (const std::exception& error) {
        // Thrift's own, and those of containers that cannot be that large.
        return input_error{std::string{what}, std::to_string(size) + " bytes",
                           std::string{"a Thrift message: "} + error.what()};
    }
    return out;
}

} // namespace skylark::peer::internal

#endif
