// Local addresses that no other process binds.
#ifndef TEST_OWN_ADDRESS_HPP
#define TEST_OWN_ADDRESS_HPP

#include <cstdint>
#include <unistd.h>

#include <skylark/core/address.hpp>

namespace skylark::test {

/*! @brief A new loopback address for settings that name an address before it
 *  is bound. Its host part is derived from the process id; the kernel takes
 *  127.0.0.1 for the local side of connections, so their ports do not collide
 *  with it.
 *  @return an address that this process has not been given before */
inline address own_address() {
    constexpr std::uint32_t block = 0x7f400000U; // 127.64.0.0/10
    constexpr std::uint32_t block_mask = 0x003fffffU;
    static std::uint16_t port = 10'000;
    const auto process = static_cast<std::uint32_t>(getpid());
    return {block | (process & block_mask), ++port};
}

} // namespace skylark::test

#endif
