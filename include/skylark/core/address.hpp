/*! @file
 *  IPv4 address and port. Processes are reached by numeric address only; host
 *  names are not resolved. */
#ifndef SKYLARK_CORE_ADDRESS_HPP
#define SKYLARK_CORE_ADDRESS_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <skylark/core/error.hpp>

namespace skylark {

/*! @brief IPv4 address with port, both in host byte order. */
struct address {
    std::uint32_t m_ip{};
    std::uint16_t m_port{};

    constexpr auto operator<=>(const address&) const = default;

    /*! @brief Text form.
     *  @return "a.b.c.d:port" */
    [[nodiscard]] std::string text() const;

    /*! @brief Address and port packed into one number, for hashing and ids.
     *  @return address in bits 16 to 47, port in bits 0 to 15 */
    [[nodiscard]] constexpr std::uint64_t key() const {
        return (std::uint64_t{m_ip} << 16U) | m_port;
    }
};

/*! @brief Parses "a.b.c.d:port".
 *  @param text input; nothing may precede or follow the address
 *  @param place location of the input, for the error
 *  @return the address or the error */
parsed<address> parse_address(std::string_view text, std::string_view place);

} // namespace skylark

#endif
