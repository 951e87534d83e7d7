// Memory that the kernel keeps for a socket.
#ifndef SKYLARK_IO_SOCKET_MEMORY_HPP
#define SKYLARK_IO_SOCKET_MEMORY_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include <linux/sock_diag.h>
#include <sys/socket.h>

namespace skylark::io::internal {

/*! @brief Bytes that the kernel keeps for the input and output of a socket, its
 *  own overhead included (from SO_MEMINFO). 0 if it does not tell. */
inline std::size_t socket_memory(int fd) {
    std::array<std::uint32_t, SK_MEMINFO_VARS> found{};
    socklen_t size = sizeof found;
    if (getsockopt(fd, SOL_SOCKET, SO_MEMINFO, found.data(), &size) != 0)
        return 0;
    // The reserve is below zero for a moment while buffers are released.
    const auto reserve = static_cast<std::int32_t>(found[SK_MEMINFO_FWD_ALLOC]);
    return std::size_t{found[SK_MEMINFO_RMEM_ALLOC]} +
           found[SK_MEMINFO_WMEM_QUEUED] + found[SK_MEMINFO_BACKLOG] +
           static_cast<std::size_t>(std::max(reserve, 0));
}

} // namespace skylark::io::internal

#endif
