/*! @file
 *  IPv4 address and port; processes are reached by IP numbers only. */
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
     *  @return dotted quad, colon, port */
    [[nodiscard]] std::string text() const;

    /*! @brief Both parts in one number, for hashing and ids.
     *  @return address in the high, port in the low bits */
    [[nodiscard]] constexpr std::uint64_t key() const {
        return (std::uint64_t{m_ip} << 16U) | m_port;
    }
};

/*! @brief Reads "a.b.c.d:port".
 *  @param text the input
 *  @param place where the input stands, for the error
 *  @return the address or the error */
parsed<address> parse_address(std::string_view text, std::string_view place);

} // namespace skylark

#endif
