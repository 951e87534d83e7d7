// Bytes that the kernel holds for a connected socket.
#ifndef SKYLARK_IO_SOCKET_QUEUE_HPP
#define SKYLARK_IO_SOCKET_QUEUE_HPP

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace skylark::io::internal {

/*! @brief Number of bytes that were received and not read; 0 on an error. */
inline int unread_bytes(int fd) {
    int count = 0;
    return ioctl(fd, SIOCINQ, &count) == 0 ? count : 0;
}

/*! @brief Number of bytes that the peer has not acknowledged; the end of the
 *  stream counts as one. 0 on an error. */
inline int unacknowledged_bytes(int fd) {
    int count = 0;
    return ioctl(fd, SIOCOUTQ, &count) == 0 ? count : 0;
}

} // namespace skylark::io::internal

#endif
