// An upstream on bare sockets: the test decides on each byte that it sends,
// and when.
#ifndef TEST_ENTRY_SCRIPTED_UPSTREAM_HPP
#define TEST_ENTRY_SCRIPTED_UPSTREAM_HPP

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

#include <skylark/core/address.hpp>

#include "io/event_loop.hpp"
#include "io/http_message.hpp"
#include "io/native.hpp"

namespace skylark::test {

/*! @brief One request as it arrived. */
struct scripted_request {
    int m_connection{};   //!< number of its connection, from 0
    int m_position{};     //!< requests before it on that connection
    std::string m_method; //!< as sent
    std::string m_path;
    std::string m_head; //!< request line and fields

    /*! @brief Value of a field, its name in any case; empty without one. */
    [[nodiscard]] std::string field(std::string_view name) const {
        std::string_view rest = m_head;
        while (!rest.empty()) {
            const auto line = rest.substr(0, rest.find("\r\n"));
            rest.remove_prefix(std::min(rest.size(), line.size() + 2));
            const auto colon = line.find(": ");
            if (colon == name.size() &&
                io::equal_ignoring_case(line.substr(0, colon), name))
                return std::string{line.substr(colon + 2)};
        }
        return {};
    }
};

/*! @brief How a connection ends. */
enum class ending : std::uint8_t { keep, close, reset };

/*! @brief The upstream; turn() does what has become possible. */
class scripted_upstream {
public:
    using handler = std::function<void(const scripted_request&)>;

    scripted_upstream()
        : m_listener{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)} {
        sockaddr_in name = io::internal::to_native({0x7f000001U, 0});
        bind(m_listener, reinterpret_cast<sockaddr*>(&name), sizeof name);
        listen(m_listener, 64);
    }
    ~scripted_upstream() {
        for (const auto& [number, item] : m_connections)
            ::close(item.m_socket);
        ::close(m_listener);
    }
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;

    [[nodiscard]] address where() const {
        return io::internal::local_address(m_listener);
    }

    /*! @brief Sets what is called with each whole request. */
    void on_request(handler what) { m_handler = std::move(what); }

    /*! @brief Sets bytes that each new connection gets at once. */
    void greet(std::string bytes) { m_greeting = std::move(bytes); }

    /*! @brief Makes it handle requests once their heads have come. It reads no
     *  more on a connection whose request has a body, and holds little of it.
     */
    void ignore_bodies() {
        m_ignores_bodies = true;
        constexpr int receive_buffer = 64 * 1024;
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof receive_buffer);
    }

    /*! @brief Sends bytes, then ends the connection or keeps it. */
    void say(int connection, const std::string& bytes,
             ending after = ending::keep) {
        const auto found = m_connections.find(connection);
        if (found == m_connections.end())
            return;
        send(found->second.m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (after == ending::keep)
            return;
        constexpr linger at_once{1, 0};
        if (after == ending::reset)
            setsockopt(found->second.m_socket, SOL_SOCKET, SO_LINGER, &at_once,
                       sizeof at_once);
        ::close(found->second.m_socket);
        m_connections.erase(found);
    }

    /*! @brief Whether either side has ended a connection. */
    [[nodiscard]] bool has_ended(int connection) const {
        return !m_connections.contains(connection);
    }

    /*! @brief As above, after a delay; nothing if the connection ended. */
    void say_later(duration delay, int connection, std::string bytes,
                   ending after = ending::keep) {
        m_planned.push_back({io::event_loop::now() + delay, connection,
                             std::move(bytes), after});
    }

    void turn() {
        accept_all();
        std::vector<int> open;
        for (const auto& [number, item] : m_connections)
            open.push_back(number);
        for (const int number : open)
            serve(number);
        const time_point now = io::event_loop::now();
        for (const planned& item : std::exchange(m_planned, {})) {
            if (item.m_due <= now)
                say(item.m_connection, item.m_bytes, item.m_after);
            else
                m_planned.push_back(item);
        }
    }

private:
    struct connection {
        int m_socket{};
        int m_requests{};
        std::string m_bytes; // of an unfinished request
        bool m_ignored{};    // its input, behind a head
    };
    struct planned {
        time_point m_due;
        int m_connection{};
        std::string m_bytes;
        ending m_after{ending::keep};
    };

    static bool has_head(const connection& item) {
        return item.m_bytes.find("\r\n\r\n") != std::string::npos;
    }

    void accept_all() {
        int peer = -1;
        while ((peer = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)) >=
               0) {
            m_connections[m_accepted].m_socket = peer;
            say(m_accepted++, m_greeting);
        }
    }

    void serve(int number) {
        connection& item = m_connections.at(number);
        if (item.m_ignored)
            return;
        std::array<char, 4096> piece;
        ssize_t count = 1;
        while ((!m_ignores_bodies || !has_head(item)) &&
               (count = recv(item.m_socket, piece.data(), piece.size(), 0)) > 0)
            item.m_bytes.append(piece.data(), static_cast<std::size_t>(count));
        if (count == 0 || (count < 0 && errno != EAGAIN)) {
            ::close(item.m_socket);
            m_connections.erase(number);
            return;
        }
        const auto end = item.m_bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        scripted_request got;
        got.m_connection = number;
        got.m_head = item.m_bytes.substr(0, end + 2);
        const std::string length = got.field("Content-Length");
        const std::size_t size =
            end + 4 + (length.empty() ? 0 : std::stoul(length));
        item.m_ignored = m_ignores_bodies && size > end + 4;
        if (!item.m_ignored && item.m_bytes.size() < size)
            return;
        item.m_bytes.erase(0, size);
        got.m_position = item.m_requests++;
        got.m_method = got.m_head.substr(0, got.m_head.find(' '));
        const auto path = got.m_method.size() + 1;
        got.m_path = got.m_head.substr(path, got.m_head.find(' ', path) - path);
        m_handler(got);
    }

    int m_listener;
    int m_accepted{};
    handler m_handler;
    bool m_ignores_bodies{};
    std::string m_greeting;
    std::map<int, connection> m_connections; // by number
    std::vector<planned> m_planned;
};

} // namespace skylark::test

#endif
