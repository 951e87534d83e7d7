// Bounds what the kernel keeps of connections' input that nobody has read.
#include "io/receive_windows.hpp"

#include <sys/socket.h>

namespace skylark::io {

namespace {
bool set_receive_buffer(int socket, int bytes) {
    return setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0;
}
} // namespace

void receive_windows::begin(int socket) {
    set_receive_buffer(socket, narrow);
}

bool receive_windows::widen(int socket) {
    if (m_granted + cost > m_budget || !set_receive_buffer(socket, wide))
        return false;
    m_granted += cost;
    return true;
}

} // namespace skylark::io
