// HTTP/1 client connections on h2o sockets: opening, writing, flow control.
#include "io/http_client.hpp"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include "io/event_loop.hpp"
#include "io/http_client_native.hpp"
#include "io/socket_memory.hpp"

namespace skylark::io {

using internal::connection;
using internal::phase;

http_client::http_client(event_loop& loop, const limits& bounds,
                         receive_windows* windows)
    : m_native{std::make_unique<native>(
          native{&loop,
                 bounds,
                 windows,
                 {},
                 {},
                 std::vector<char>(bounds.m_turn_bytes)})} {}

http_client::~http_client() {
    m_native->m_loop->cancel(m_native->m_watch);
    for (auto& [key, connection] : m_native->m_connections)
        m_native->close_socket(connection);
}

connection_id http_client::open(address server, handler on_event) {
    const connection_id key = m_native->m_connections.emplace();
    connection& created = *m_native->m_connections.find(key);
    created.m_handler = std::move(on_event);
    created.m_owner = m_native.get();
    created.m_key = key;
    if (m_native->connect(created, server))
        return key;
    m_native->m_loop->after(duration{0}, [this, key] {
        if (connection* found = m_native->m_connections.find(key))
            m_native->fail(*found, "connect refused by the kernel");
    });
    return key;
}

// h2o's own connections read all that the kernel holds, as long as the peer
// sends on, so these do without and receive() reads.
bool http_client::native::connect(connection& conn, address server) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return false;
    set_socket_options(fd);
    const sockaddr_in name = internal::to_native(server);
    const auto* generic = reinterpret_cast<const sockaddr*>(&name);
    if (::connect(fd, generic, sizeof name) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return false;
    }
    conn.m_socket = h2o_evloop_socket_create(m_loop->native(), fd,
                                             H2O_SOCKET_FLAG_DONT_READ);
    conn.m_socket->data = &conn;
    h2o_socket_notify_write(conn.m_socket, &native::on_connect);
    return true;
}

void http_client::rebind(connection_id key, handler on_event) {
    if (connection* found = m_native->m_connections.find(key))
        found->m_handler = std::move(on_event);
}

void http_client::send(connection_id key, std::string bytes, bool head_only) {
    send(key, std::move(bytes), {}, head_only);
}

void http_client::send(connection_id key, std::string head,
                       std::string_view body, bool head_only) {
    connection* found = m_native->m_connections.find(key);
    if (!found || found->m_phase != phase::idle)
        return;
    found->m_phase = phase::head;
    found->m_head_only = head_only;
    found->m_head_sent |= head_only;
    found->m_bytes_sent = true;
    found->m_writing = true;
    found->m_output = std::move(head);
    m_native->watch(*found);
    std::array buffers{
        h2o_iovec_init(found->m_output.data(), found->m_output.size()),
        h2o_iovec_init(body.data(), body.size())};
    h2o_socket_write(found->m_socket, buffers.data(), body.empty() ? 1 : 2,
                     &native::on_write);
}

bool http_client::writing(connection_id key) {
    const connection* found = m_native->m_connections.find(key);
    return found && found->m_writing;
}

void http_client::pause(connection_id key) {
    connection* found = m_native->m_connections.find(key);
    if (!found || !found->m_socket || found->m_paused)
        return;
    found->m_paused = true;
    h2o_socket_read_stop(found->m_socket);
}

void http_client::resume(connection_id key) {
    connection* found = m_native->m_connections.find(key);
    if (!found || !found->m_socket || !found->m_paused)
        return;
    found->m_paused = false;
    if (found->m_input.empty())
        h2o_socket_read_start(found->m_socket, &native::on_read);
    else
        m_native->m_loop->after(
            duration{0}, [this, key] { m_native->continue_reading(key); });
}

void http_client::close(connection_id key) {
    connection* found = m_native->m_connections.find(key);
    if (!found || found->m_phase == phase::closed)
        return;
    m_native->close_socket(*found);
    m_native->m_connections.erase(key);
}

bool http_client::usable(connection_id key) {
    connection* found = m_native->m_connections.find(key);
    if (!found || found->m_phase != phase::idle || !found->m_input.empty())
        return false;
    char byte{};
    const int fd = h2o_socket_get_fd(found->m_socket);
    const auto count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EINTR);
}

std::size_t http_client::unreported(connection_id key) const {
    const connection* found = m_native->m_connections.find(key);
    return found ? found->m_input.size() : 0;
}

std::size_t http_client::kernel_bytes(connection_id key) const {
    const connection* found = m_native->m_connections.find(key);
    return found && found->m_socket
               ? internal::socket_memory(h2o_socket_get_fd(found->m_socket))
               : 0;
}

std::size_t http_client::kernel_bytes() const {
    std::size_t sum = 0;
    for (const auto& [key, item] : m_native->m_connections)
        if (item.m_socket)
            sum += internal::socket_memory(h2o_socket_get_fd(item.m_socket));
    return sum;
}

std::size_t http_client::size() const {
    return m_native->m_connections.size();
}

} // namespace skylark::io
