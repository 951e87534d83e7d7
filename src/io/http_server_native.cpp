// Callbacks that h2o runs for the exchanges of the HTTP server.
#include <cstdint>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include "io/event_loop.hpp"
#include "io/http_server_native.hpp"
#include "io/http_status.hpp"
#include "io/request_input.hpp"
#include "io/socket_queue.hpp"

namespace skylark::io {

using internal::answer_guard;
using internal::exchange;
using internal::filter;
using internal::generator;
using internal::handler;

namespace {

// Requests of one connection that are handled in one iteration of the loop. h2o
// goes on with the next one as soon as an answer was written, so a caller whose
// requests are refused at once would keep all others waiting.
constexpr std::size_t most_in_iteration = 8;

std::string_view view(const h2o_iovec_t& from) {
    return {from.base, from.len};
}

// h2o would end a body of unknown length with the connection unless the status
// is 200, so a cut answer would look complete. Its chunked filter reads the
// status only during this call; the head is written later.
void set_up_chunks(h2o_req_t* request, h2o_ostream_t** slot) {
    const int status = request->res.status;
    const bool has_body = status >= io::status::ok &&
                          status != io::status::no_content &&
                          status != io::status::not_modified;
    if (has_body && request->res.content_length == SIZE_MAX)
        request->res.status = io::status::ok;
    h2o_setup_next_ostream(request, slot);
    request->res.status = status;
}

// The next request begins where the one that was answered ends.
void release_bounds(internal::accepted_connection& connection,
                    const h2o_req_t& answered) {
    if (connection.m_held.empty())
        return;
    h2o_socket_t* socket = connection.m_socket;
    const auto unread = static_cast<std::size_t>(
        internal::unread_bytes(h2o_socket_get_fd(socket)));
    connection.m_held.release(socket->bytes_read + unread -
                              internal::input_behind(answered));
}

} // namespace

h2o_socket_t* http_server::native::socket_of(h2o_req_t* request) {
    return request->conn->callbacks->get_socket(request->conn);
}

void http_server::native::discarded(discard_cause cause,
                                    std::size_t bytes) const {
    if (m_handlers.m_discarded)
        m_handlers.m_discarded(cause, bytes);
}

exchange_id http_server::native::open(h2o_req_t* request) {
    auto* self = static_cast<generator*>(h2o_mem_alloc_shared(
        &request->pool, sizeof(generator), &native::on_dispose));
    self->m_super = {&native::on_proceed, &native::on_stop};
    self->m_server = this;
    h2o_socket_t* socket = socket_of(request);
    auto& connection =
        *static_cast<internal::accepted_connection*>(socket->on_close.data);
    self->m_key = m_exchanges.emplace(
        exchange{request, self, h2o_socket_get_fd(socket), connection.m_key,
                 view(request->input.method) == "HEAD"});
    connection.m_front = self->m_key;
    return self->m_key;
}

// Fills m_headers; returns the total size of the fields in bytes.
std::size_t http_server::native::collect_headers(h2o_req_t* request) {
    std::size_t size = 0;
    m_headers.clear();
    for (std::size_t i = 0; i < request->headers.size; ++i) {
        const h2o_header_t& field = request->headers.entries[i];
        m_headers.push_back({view(*field.name), view(field.value)});
        size += field.name->len + field.value.len;
    }
    return size;
}

request_view http_server::native::view_of(h2o_req_t* request) {
    collect_headers(request);
    return {view(request->method), view(request->path), view(request->entity),
            m_headers, view(request->authority)};
}

bool http_server::native::reject_oversized(h2o_req_t* request,
                                           std::size_t head_size) const {
    const auto* connection = static_cast<internal::accepted_connection*>(
        socket_of(request)->on_close.data);
    const request_bounds bounds = connection->m_held.widen(m_bounds);
    const auto text = [](std::string_view what, std::size_t size,
                         std::size_t limit) {
        return std::string{what} + ": got " + std::to_string(size) +
               " bytes, expected at most " + std::to_string(limit) + "\n";
    };
    if (head_size > bounds.m_head)
        reject(request, status::head_too_large,
               "Request Header Fields Too Large",
               text("header fields", head_size, bounds.m_head));
    else if (request->entity.len > bounds.m_body)
        reject(request, status::content_too_large, "Request Entity Too Large",
               text("body", request->entity.len, bounds.m_body));
    else
        return false;
    return true;
}

void http_server::native::reject(h2o_req_t* request, int status,
                                 const char* reason,
                                 const std::string& text) const {
    const auto body = h2o_strdup(&request->pool, text.data(), text.size());
    // All of the request was read, so the connection can go on.
    h2o_socket_t* socket = socket_of(request);
    auto& connection =
        *static_cast<internal::accepted_connection*>(socket->on_close.data);
    connection.m_kept = fcntl(h2o_socket_get_fd(socket), F_DUPFD_CLOEXEC, 0);
    const bool last = m_closing && internal::input_behind(*request) == 0;
    if (last || connection.m_kept < 0)
        request->http1_is_persistent = 0;
    h2o_send_error_generic(request, status, reason, body.base,
                           H2O_SEND_ERROR_KEEP_HEADERS);
}

int http_server::native::on_request(h2o_handler_t* self, h2o_req_t* request) {
    auto& server =
        *static_cast<native*>(reinterpret_cast<handler*>(self)->m_server);
    auto* connection = static_cast<internal::accepted_connection*>(
        socket_of(request)->on_close.data);
    if (connection->m_kept >= 0)
        close(std::exchange(connection->m_kept, -1));
    // h2o keeps the request as long as its connection.
    auto handle = [&server, key = connection->m_key, request] {
        if (auto* found = server.m_connections.find(key))
            server.handle(*found, request);
    };
    if (server.count_request(*connection))
        handle();
    else
        server.m_loop->after(duration{0}, std::move(handle));
    return 0;
}

bool http_server::native::count_request(
    internal::accepted_connection& connection) const {
    const std::uint64_t iteration = m_loop->iteration();
    if (std::exchange(connection.m_iteration, iteration) != iteration)
        connection.m_iteration_requests = 0;
    return ++connection.m_iteration_requests <= most_in_iteration;
}

void http_server::native::handle(internal::accepted_connection& connection,
                                 h2o_req_t* request) {
    // The request crossed the close of its connection; no answer would arrive.
    if (connection.m_ended) {
        request->http1_is_persistent = 0;
        h2o_send_error_503(request, "Service Unavailable", "shutting down\n",
                           0);
        return;
    }
    // The caller may close the connection during the calls below.
    const connection_id key = connection.m_key;
    if (!join(request)) {
        m_last_request = event_loop::now();
        if (reject_oversized(request, collect_headers(request)))
            return;
        const exchange_id opened = open(request);
        m_handlers.m_request(opened, view_of(request));
    }
    begin_early(key);
    plan_watch();
}

void http_server::native::on_answer(h2o_filter_t* self, h2o_req_t* request,
                                    h2o_ostream_t** slot) {
    auto* guard = static_cast<answer_guard*>(h2o_mem_alloc_shared(
        &request->pool, sizeof(answer_guard), &native::on_answer_end));
    *guard = {reinterpret_cast<filter*>(self)->m_server, request};
    auto& server = *static_cast<native*>(guard->m_server);
    // Answers of exchanges have the generator that open() made.
    const h2o_generator_t* source = request->_generator;
    const bool of_exchange = source && source->proceed == &native::on_proceed;
    if (!of_exchange && server.m_handlers.m_rejected)
        server.m_handlers.m_rejected(request->res.status,
                                     server.view_of(request));
    set_up_chunks(request, slot);
}

// h2o closes its descriptor of the connection next; a duplicate keeps the
// connection open.
void http_server::native::on_answer_end(void* self) {
    const auto* guard = static_cast<answer_guard*>(self);
    h2o_socket_t* socket = socket_of(guard->m_request);
    auto& connection =
        *static_cast<internal::accepted_connection*>(socket->on_close.data);
    connection.m_answer_bytes = socket->bytes_written;
    connection.m_since = event_loop::now();
    connection.m_receiving = false;
    connection.m_overdue = false;
    release_bounds(connection, *guard->m_request);
    if (guard->m_request->http1_is_persistent)
        return;
    auto& server = *static_cast<native*>(guard->m_server);
    if (const std::size_t behind = internal::input_behind(*guard->m_request))
        server.discarded(connection.m_broken_off
                             ? discard_cause::broken_answer
                             : discard_cause::closing_answer,
                         behind);
    server.linger(connection);
}

void http_server::native::linger(internal::accepted_connection& connection) {
    const int socket = h2o_socket_get_fd(connection.m_socket);
    int kept = std::exchange(connection.m_kept, -1);
    if (connection.m_reset_at_end) {
        if (kept >= 0)
            close(kept);
        return;
    }
    if (kept < 0)
        kept = fcntl(socket, F_DUPFD_CLOEXEC, 0);
    if (kept < 0 && m_lingering.close_oldest())
        kept = fcntl(socket, F_DUPFD_CLOEXEC, 0);
    if (kept >= 0) {
        m_lingering.add(kept);
        return;
    }
    // What arrives later resets the connection all the same.
    const auto unread =
        static_cast<std::size_t>(internal::unread_bytes(socket));
    internal::discard_input(socket, unread);
    discarded(discard_cause::no_descriptor, unread);
}

void http_server::native::on_proceed(h2o_generator_t* self, h2o_req_t*) {
    const auto* own = reinterpret_cast<generator*>(self);
    auto& server = *static_cast<native*>(own->m_server);
    exchange* found = server.m_exchanges.find(own->m_key);
    if (found)
        found->m_send_pending = false;
    // A shutdown alone ends the connection only if more is written.
    const auto* connection =
        found ? server.m_connections.find(found->m_connection) : nullptr;
    if (connection && connection->m_broken_off && !found->m_complete) {
        h2o_send(found->m_request, nullptr, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    if (found && found->m_held && !server.write_held(*found))
        return;
    if (server.m_handlers.m_ready)
        server.m_handlers.m_ready(own->m_key);
}

void http_server::native::on_stop(h2o_generator_t*, h2o_req_t*) {
    // h2o clears the pool next, and on_dispose reports the end.
}

void http_server::native::on_dispose(void* self) {
    const auto* own = static_cast<generator*>(self);
    const exchange_id key = own->m_key;
    auto& server = *static_cast<native*>(own->m_server);
    const exchange* found = server.m_exchanges.find(key);
    const bool complete = found && found->m_complete;
    server.erase_exchange(key);
    if (server.m_handlers.m_closed)
        server.m_handlers.m_closed(key, complete);
}

} // namespace skylark::io
