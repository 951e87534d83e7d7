// Requests that the HTTP server begins before h2o hands them over, as those
// before them on their connection are still in progress.
#include <algorithm>
#include <cstdint>
#include <sys/socket.h>
#include <utility>

#include "io/bodiless_request.hpp"
#include "io/event_loop.hpp"
#include "io/http_server_native.hpp"
#include "io/request_input.hpp"
#include "io/socket_queue.hpp"

namespace skylark::io {

using internal::accepted_connection;
using internal::exchange;
using internal::generator;

namespace {
// How often the input of connections with a request in progress is looked at,
// as h2o does not read it then.
constexpr auto input_watch_period = milliseconds{20};
// Bytes that the kernel holds for a connection and that are looked at. They are
// copied whenever more arrive behind an unfinished head.
constexpr std::size_t peek_window = std::size_t{32} << 10U;
// Connections that may hold as much as is allowed for one.
constexpr std::size_t full_connections = 16;

// Up to peek_window bytes that the kernel holds; h2o reads them later.
std::string peek(int fd) {
    std::string out;
    out.resize(std::min<std::size_t>(
        static_cast<std::size_t>(internal::unread_bytes(fd)), peek_window));
    if (out.empty())
        return out;
    const ssize_t count =
        recv(fd, out.data(), out.size(), MSG_PEEK | MSG_DONTWAIT);
    out.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return out;
}

// Reads the request that begins at an offset from the end of the front one.
parse_state read_request(const h2o_req_t& front, int fd, std::size_t offset,
                         std::size_t head_limit, bodiless_request& to) {
    const std::string_view buffered = internal::buffered_behind(front);
    const std::string_view rest =
        buffered.substr(std::min(offset, buffered.size()));
    const parse_state state =
        rest.empty() ? parse_state::more : to.read(rest, head_limit);
    if (state != parse_state::more)
        return state;
    const std::string unread = peek(fd);
    const std::size_t begun = offset - std::min(offset, buffered.size());
    if (unread.size() <= begun)
        return parse_state::more;
    std::string whole{rest};
    whole.append(unread, begun);
    return to.read(whole, head_limit);
}

} // namespace

bool http_server::native::begins_early() const {
    return m_concurrent_requests > 1 && m_handlers.m_may_begin_early;
}

bool http_server::native::may_be_overtaken(exchange& front) {
    if (!front.m_may_be_overtaken) {
        const h2o_req_t& request = *front.m_request;
        const request_view seen = view_of(front.m_request);
        constexpr int http_1_1 = 0x101;
        front.m_may_be_overtaken =
            (seen.m_method == "GET" || seen.m_method == "HEAD") &&
            request.version == http_1_1 && !request.entity.base &&
            !request.upgrade.base && m_handlers.m_may_begin_early(seen);
    }
    return *front.m_may_be_overtaken;
}

void http_server::native::begin_early(connection_id key) {
    while (begins_early() && begin_next(key)) {
    }
}

// Each call finds everything anew, as the handler of a request may end its
// connection.
bool http_server::native::begin_next(connection_id key) {
    accepted_connection* connection = m_connections.find(key);
    if (!connection || connection->m_no_early || connection->m_early_stopped ||
        connection->m_early.size() + 1 >= m_concurrent_requests ||
        !has_room(key))
        return false;
    exchange* front = m_exchanges.find(connection->m_front);
    if (!front || !front->m_request->http1_is_persistent)
        return false;
    std::size_t offset = 0;
    for (const exchange_id begun : connection->m_early)
        offset += m_exchanges.find(begun)->m_size;
    const std::size_t behind = internal::input_behind(*front->m_request);
    if (behind <= offset || behind == connection->m_unfinished)
        return false;
    bodiless_request next;
    const parse_state state =
        may_be_overtaken(*front)
            ? read_request(*front->m_request, front->m_socket, offset,
                           m_bounds.m_head, next)
            : parse_state::malformed;
    if (state == parse_state::more) {
        connection->m_unfinished = behind;
        return false;
    }
    if (state == parse_state::malformed ||
        !m_handlers.m_may_begin_early(next.view())) {
        connection->m_early_stopped = true;
        return false;
    }
    exchange begun{nullptr, nullptr, front->m_socket, key,
                   next.view().m_method == "HEAD"};
    begun.m_may_be_overtaken = true;
    begun.m_held.emplace();
    begun.m_size = next.size();
    const exchange_id opened = m_exchanges.emplace(std::move(begun));
    connection->m_early.push_back(opened);
    m_last_request = event_loop::now();
    m_handlers.m_request(opened, next.view());
    return true;
}

void http_server::native::plan_watch() {
    if (m_watching || m_exchanges.empty() || !begins_early())
        return;
    m_watching = true;
    m_loop->after(input_watch_period, [this] {
        m_watching = false;
        watch_input();
        plan_watch();
    });
}

void http_server::native::watch_input() {
    std::vector<connection_id> in_progress;
    std::vector<exchange_id> held;
    for (const auto& [key, item] : m_exchanges)
        if (item.m_request)
            in_progress.push_back(item.m_connection);
        else
            held.push_back(key);
    for (const connection_id key : in_progress)
        begin_early(key);
    for (const exchange_id key : held)
        grant(key);
}

bool http_server::native::join(h2o_req_t* request) {
    h2o_socket_t* socket = socket_of(request);
    auto& connection =
        *static_cast<accepted_connection*>(socket->on_close.data);
    connection.m_unfinished = 0;
    if (connection.m_early.empty()) {
        connection.m_early_stopped = false;
        return false;
    }
    const exchange_id key = connection.m_early.front();
    exchange& item = *m_exchanges.find(key);
    const std::size_t size =
        socket->input->size - internal::buffered_behind(*request).size();
    if (size != item.m_size) {
        // Not the request that was begun; its exchange has no caller.
        end_early(connection, 0);
        connection.m_no_early = true;
        return false;
    }
    connection.m_early.erase(connection.m_early.begin());
    connection.m_front = key;
    auto* own = static_cast<generator*>(h2o_mem_alloc_shared(
        &request->pool, sizeof(generator), &native::on_dispose));
    own->m_super = {&native::on_proceed, &native::on_stop};
    own->m_server = this;
    own->m_key = key;
    item.m_request = request;
    item.m_generator = own;
    write_joined(key);
    return true;
}

// Passes on what came before the turn of an answer.
void http_server::native::write_joined(exchange_id key) {
    exchange& item = *m_exchanges.find(key);
    const held_answer& held = *item.m_held;
    if (!held.started()) {
        item.m_held.reset();
        return;
    }
    start(item, held.status(), held.headers(), held.length());
    if (held.aborted()) {
        item.m_held.reset();
        // h2o may close the connection at once, which it must not do while it
        // hands a request over.
        m_loop->after(duration{0}, [this, key] {
            if (exchange* found = m_exchanges.find(key))
                break_off(*found);
        });
    } else if (write_held(item) && m_handlers.m_ready) {
        m_handlers.m_ready(key);
    }
}

bool http_server::native::write_held(exchange& item) {
    held_answer& held = *item.m_held;
    const bool last = held.last();
    if (held.size() == 0 && !last) {
        const bool waits = held.release_sender();
        item.m_held.reset();
        return waits;
    }
    std::string body = held.take_body();
    m_held_bytes -= body.size();
    if (last)
        item.m_held.reset();
    write(item, std::move(body), last);
    return false;
}

void http_server::native::hold(exchange_id key, std::string_view piece,
                               bool last) {
    if (!m_exchanges.find(key)->m_held->add(piece, last))
        return;
    m_held_bytes += piece.size();
    // Senders do not expect to be called back while they send.
    if (!last)
        m_loop->after(duration{0}, [this, key] { grant(key); });
}

bool http_server::native::has_room(connection_id key) {
    const accepted_connection* connection = m_connections.find(key);
    if (!connection)
        return false;
    std::size_t sum = 0;
    const auto add = [&](exchange_id held) {
        const exchange* item = m_exchanges.find(held);
        sum += item && item->m_held ? item->m_held->size() : 0;
    };
    add(connection->m_front);
    std::for_each(connection->m_early.begin(), connection->m_early.end(), add);
    return sum < m_held_limit && m_held_bytes < full_connections * m_held_limit;
}

void http_server::native::grant(exchange_id key) {
    exchange* item = m_exchanges.find(key);
    if (item && item->m_held && has_room(item->m_connection) &&
        item->m_held->release_sender() && m_handlers.m_ready)
        m_handlers.m_ready(key);
}

// The connection ends when the turn of the answer comes.
void http_server::native::abort_held(exchange& item, exchange_id key) {
    if (!item.m_held->started() || item.m_held->aborted())
        return;
    m_held_bytes -= item.m_held->size();
    item.m_held->abort();
    accepted_connection& connection = *m_connections.find(item.m_connection);
    connection.m_no_early = true;
    const auto& early = connection.m_early;
    const auto place = std::find(early.begin(), early.end(), key);
    end_early(connection, static_cast<std::size_t>(place - early.begin()) + 1);
}

void http_server::native::end_early(accepted_connection& connection,
                                    std::size_t kept) {
    const auto first =
        connection.m_early.begin() + static_cast<std::ptrdiff_t>(kept);
    std::vector<exchange_id> ended{first, connection.m_early.end()};
    connection.m_early.resize(kept);
    if (ended.empty())
        return;
    for (const exchange_id key : ended)
        erase_exchange(key);
    // The owner may be at work on one of them, or on all its exchanges.
    m_loop->after(duration{0}, [this, ended = std::move(ended)] {
        for (const exchange_id key : ended)
            if (m_handlers.m_closed)
                m_handlers.m_closed(key, false);
    });
}

void http_server::native::erase_exchange(exchange_id key) {
    const exchange* item = m_exchanges.find(key);
    if (!item)
        return;
    if (item->m_held)
        m_held_bytes -= item->m_held->size();
    accepted_connection* connection = m_connections.find(item->m_connection);
    if (connection && connection->m_front == key)
        connection->m_front = {};
    m_exchanges.erase(key);
}

} // namespace skylark::io
