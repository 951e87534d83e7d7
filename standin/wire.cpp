// Forwards TCP connections and can lose track of them.
#include "standin/wire.hpp"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/native.hpp"

namespace standin {

using namespace skylark;

wire::~wire() {
    for (const auto& [one, other] : m_pairs)
        close(one);
    for (const int fd : m_silent)
        close(fd);
    close(m_listener);
}

parsed<address> wire::listen(address where) {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    constexpr int on = 1;
    constexpr int backlog = 256;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in name = io::internal::to_native(where);
    const auto* generic = reinterpret_cast<const sockaddr*>(&name);
    if (bind(m_listener, generic, sizeof name) != 0 ||
        ::listen(m_listener, backlog) != 0)
        return input_error{"listen", where.text(), "a free local address"};
    return io::internal::local_address(m_listener);
}

void wire::accept_one() {
    const int caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0)
        return;
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in name = io::internal::to_native(m_to);
    const auto* generic = reinterpret_cast<const sockaddr*>(&name);
    if (connect(server, generic, sizeof name) != 0) {
        close(server);
        close(caller);
        return;
    }
    constexpr int on = 1;
    for (const int fd : {caller, server})
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_pairs[caller] = server;
    m_pairs[server] = caller;
}

void wire::close_pair(int one, int other) {
    close(one);
    close(other);
    m_pairs.erase(one);
    m_pairs.erase(other);
}

void wire::forward(int from, int to) {
    constexpr std::size_t piece = 65536; // bytes
    static std::array<char, piece> buffer;
    const auto size = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && errno == EAGAIN)
        return;
    if (size <= 0) {
        close_pair(from, to);
        return;
    }
    for (ssize_t done = 0; done < size;) {
        const auto part =
            ::send(to, buffer.data() + done,
                   static_cast<std::size_t>(size - done), MSG_NOSIGNAL);
        if (part < 0) {
            close_pair(from, to);
            return;
        }
        done += part;
    }
}

void wire::run_once(int wait_ms) {
    std::vector<pollfd> ready{{m_listener, POLLIN, 0}};
    for (const auto& [one, other] : m_pairs)
        ready.push_back({one, POLLIN, 0});
    if (poll(ready.data(), ready.size(), wait_ms) <= 0)
        return;
    for (const pollfd& item : ready) {
        if (item.revents == 0)
            continue;
        const auto pair = m_pairs.find(item.fd);
        if (item.fd == m_listener)
            accept_one();
        else if (pair != m_pairs.end())
            forward(pair->first, pair->second);
    }
}

void wire::forget() {
    for (const auto& [one, other] : m_pairs)
        m_silent.push_back(one);
    m_pairs.clear();
}

} // namespace standin
