// UDP socket driven by the event loop.
#include "io/udp_socket.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <unistd.h>
#include <utility>

#include "io/event_loop.hpp"
#include "io/native.hpp"

namespace skylark::io {

struct udp_socket::native {
    event_loop* m_loop;
    int m_fd{-1};
    handler m_handler;
    // Set while datagrams are queued that may have arrived since then.
    std::optional<time_point> m_backlog_since;

    static void on_readable(h2o_socket_t* socket, const char* error);
};

void udp_socket::native::on_readable(h2o_socket_t* socket, const char*) {
    auto& self = *static_cast<native*>(socket->data);
    self.m_loop->detect_pause();
    constexpr std::size_t largest_datagram = 65536;
    static std::array<std::uint8_t, largest_datagram> buffer;
    constexpr int max_datagrams_per_call = 64;
    for (int i = 0; i < max_datagrams_per_call; ++i) {
        sockaddr_in from{};
        socklen_t length = sizeof from;
        const auto size =
            recvfrom(self.m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT,
                     reinterpret_cast<sockaddr*>(&from), &length);
        if (size < 0) {
            self.m_backlog_since.reset();
            return;
        }
        const bytes payload{buffer.data(), static_cast<std::size_t>(size)};
        self.m_handler(
            {internal::from_native(from), payload, self.m_backlog_since});
    }
}

udp_socket::udp_socket(event_loop& loop)
    : m_native{std::make_unique<native>(native{&loop, -1, {}, {}})} {}

udp_socket::~udp_socket() = default;

parsed<address> udp_socket::bind(address local, handler on_datagram) {
    const int fd =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in name = internal::to_native(local);
    const auto* generic = reinterpret_cast<const sockaddr*>(&name);
    if (::bind(fd, generic, sizeof name) != 0) {
        const int code = errno;
        close(fd);
        return input_error{"bind", local.text(),
                           std::string{"a free local address ("} +
                               std::strerror(code) + ")"};
    }
    m_native->m_fd = fd;
    m_native->m_handler = std::move(on_datagram);
    auto* socket = h2o_evloop_socket_create(m_native->m_loop->native(), fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
    socket->data = m_native.get();
    h2o_socket_read_start(socket, &native::on_readable);
    return internal::local_address(fd);
}

bool udp_socket::send(address to, bytes payload) {
    const sockaddr_in name = internal::to_native(to);
    const auto* generic = reinterpret_cast<const sockaddr*>(&name);
    return sendto(m_native->m_fd, payload.data(), payload.size(), MSG_DONTWAIT,
                  generic, sizeof name) >= 0;
}

void udp_socket::paused(time_point begun) {
    char byte{};
    const auto size =
        recv(m_native->m_fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (size >= 0 && !m_native->m_backlog_since)
        m_native->m_backlog_since = begun;
}

} // namespace skylark::io
