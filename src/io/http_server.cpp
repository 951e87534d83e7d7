// HTTP/1 server on h2o.
#include "io/http_server.hpp"

#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

#include <skylark/core/id_map.hpp>

#include "io/event_loop.hpp"
#include "io/http_status.hpp"
#include "io/listener.hpp"
#include "io/native.hpp"

namespace skylark::io {

namespace {

constexpr auto oversize_check = milliseconds{100};

struct generator;

struct exchange {
    h2o_req_t* m_request;
    generator* m_generator; // lives in the request's pool
    int m_socket;
    std::string m_piece;
    bool m_started{};
    bool m_complete{};
    bool m_moving{}; // h2o has not yet handed the last piece on
};

// Lives in the request's pool; h2o calls its members.
struct generator {
    h2o_generator_t m_super; // first: h2o hands back a pointer to it
    void* m_server;
    exchange_id m_key;
};

struct handler {
    h2o_handler_t m_super; // first: h2o hands back a pointer to it
    void* m_server;
};

struct accepted {
    void* m_server;
    std::uint64_t m_peer;
};

std::string_view view(const h2o_iovec_t& from) {
    return {from.base, from.len};
}

} // namespace

struct http_server::native {
    event_loop* m_loop{};
    h2o_globalconf_t m_config{};
    h2o_context_t m_context{};
    h2o_accept_ctx_t m_accept{};
    std::vector<h2o_socket_t*> m_listeners;
    handlers m_handlers;
    id_map<exchange_id, exchange> m_exchanges;
    std::unordered_map<std::uint64_t, h2o_socket_t*> m_sockets; // by peer
    std::size_t m_head_limit{};         // bytes of all header fields
    std::size_t m_input_limit{};        // bytes of one request, head and body
    std::vector<header_view> m_headers; // scratch
    time_point m_last_request;

    void end_oversized();
    static int on_request(h2o_handler_t* self, h2o_req_t* request);
    static void on_accept(h2o_socket_t* listener, const char* error);
    static void on_socket_close(void* data);
    static void on_proceed(h2o_generator_t* self, h2o_req_t* request);
    static void on_stop(h2o_generator_t* self, h2o_req_t* request);
    static void on_dispose(void* self);

    int socket_of(h2o_req_t* request);
    exchange_id open(h2o_req_t* request);
    std::size_t collect_headers(h2o_req_t* request);
    void refuse_head(h2o_req_t* request, std::size_t size) const;
};

int http_server::native::socket_of(h2o_req_t* request) {
    sockaddr_in peer{};
    request->conn->callbacks->get_peername(request->conn,
                                           reinterpret_cast<sockaddr*>(&peer));
    const auto found = m_sockets.find(internal::from_native(peer).key());
    return found == m_sockets.end() ? -1 : h2o_socket_get_fd(found->second);
}

// h2o looks for one exact size of a head that never ends and may step over
// it; such a connection is ended here, so that it holds bounded memory.
void http_server::native::end_oversized() {
    for (const auto& [peer, socket] : m_sockets)
        if (socket->input->size > m_input_limit)
            shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
}

exchange_id http_server::native::open(h2o_req_t* request) {
    auto* self = static_cast<generator*>(h2o_mem_alloc_shared(
        &request->pool, sizeof(generator), &native::on_dispose));
    self->m_super = {&native::on_proceed, &native::on_stop};
    self->m_server = this;
    self->m_key =
        m_exchanges.emplace(exchange{request, self, socket_of(request)});
    return self->m_key;
}

// Gathers the fields; returns their size in bytes.
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

void http_server::native::refuse_head(h2o_req_t* request,
                                      std::size_t size) const {
    const std::string text = "header fields: got " + std::to_string(size) +
                             " bytes, expected at most " +
                             std::to_string(m_head_limit) + "\n";
    const auto body = h2o_strdup(&request->pool, text.data(), text.size());
    request->http1_is_persistent = 0;
    h2o_send_error_generic(request, io::status::head_too_large,
                           "Request Header Fields Too Large", body.base,
                           H2O_SEND_ERROR_KEEP_HEADERS);
}

int http_server::native::on_request(h2o_handler_t* self, h2o_req_t* request) {
    auto& server =
        *static_cast<native*>(reinterpret_cast<handler*>(self)->m_server);
    server.m_last_request = event_loop::now();
    const std::size_t size = server.collect_headers(request);
    if (size > server.m_head_limit) {
        server.refuse_head(request, size);
        return 0;
    }
    const exchange_id key = server.open(request);
    const request_view seen{view(request->method), view(request->path),
                            view(request->entity), server.m_headers,
                            view(request->authority)};
    server.m_handlers.m_request(key, seen);
    return 0;
}

void http_server::native::on_accept(h2o_socket_t* listener, const char* error) {
    auto& server = *static_cast<native*>(listener->data);
    if (error)
        return;
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
    if (!socket)
        return;
    constexpr int on = 1;
    const int fd = h2o_socket_get_fd(socket);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in peer{};
    h2o_socket_getpeername(socket, reinterpret_cast<sockaddr*>(&peer));
    const auto peer_key = internal::from_native(peer).key();
    server.m_sockets[peer_key] = socket;
    socket->on_close.cb = &native::on_socket_close;
    socket->on_close.data = new accepted{&server, peer_key};
    h2o_accept(&server.m_accept, socket);
}

void http_server::native::on_socket_close(void* data) {
    const std::unique_ptr<accepted> self{static_cast<accepted*>(data)};
    static_cast<native*>(self->m_server)->m_sockets.erase(self->m_peer);
}

void http_server::native::on_proceed(h2o_generator_t* self, h2o_req_t*) {
    const auto* own = reinterpret_cast<generator*>(self);
    auto& server = *static_cast<native*>(own->m_server);
    if (exchange* found = server.m_exchanges.find(own->m_key))
        found->m_moving = false;
    if (server.m_handlers.m_ready)
        server.m_handlers.m_ready(own->m_key);
}

void http_server::native::on_stop(h2o_generator_t*, h2o_req_t*) {
    // The pool is cleared next; on_dispose reports the end.
}

void http_server::native::on_dispose(void* self) {
    const auto* own = static_cast<generator*>(self);
    const exchange_id key = own->m_key;
    auto& server = *static_cast<native*>(own->m_server);
    const exchange* found = server.m_exchanges.find(key);
    const bool complete = found && found->m_complete;
    server.m_exchanges.erase(key);
    if (server.m_handlers.m_closed)
        server.m_handlers.m_closed(key, complete);
}

http_server::http_server(event_loop& loop, const server_limits& limits)
    : m_native{std::make_unique<native>()} {
    m_native->m_loop = &loop;
    auto& config = m_native->m_config;
    h2o_config_init(&config);
    config.max_request_entity_size = limits.m_body_bytes;
    config.http1.req_timeout = static_cast<std::uint64_t>(to_ms(limits.m_idle));
    config.http1.upgrade_to_http2 = 0;
    config.server_name = h2o_iovec_init(H2O_STRLIT("skylarkspindle"));
    constexpr int any_port = 65535;
    auto* host = h2o_config_register_host(
        &config, h2o_iovec_init(H2O_STRLIT("default")), any_port);
    auto* path = h2o_config_register_path(host, "/", 0);
    auto* own =
        reinterpret_cast<handler*>(h2o_create_handler(path, sizeof(handler)));
    own->m_super.on_req = &native::on_request;
    own->m_server = m_native.get();
    h2o_context_init(&m_native->m_context, loop.native(), &config);
    bound(limits);
    auto* native = m_native.get();
    loop.every(oversize_check, [native] { native->end_oversized(); });
    m_native->m_accept.ctx = &m_native->m_context;
    m_native->m_accept.hosts = config.hosts;
}

http_server::~http_server() {
    stop_listening();
    // Connections end with the process; h2o keeps pointers into the rest.
    static_cast<void>(m_native.release());
}

void http_server::bound(const server_limits& limits) {
    m_native->m_config.max_request_entity_size = limits.m_body_bytes;
    m_native->m_head_limit = limits.m_head_bytes;
    m_native->m_input_limit = limits.m_body_bytes + limits.m_head_bytes;
    // h2o reads the period when it arms a connection's timer.
    m_native->m_context.http1.req_timeout.timeout =
        static_cast<std::uint64_t>(to_ms(limits.m_idle));
}

void http_server::handle(handlers who) {
    m_native->m_handlers = std::move(who);
}

parsed<address> http_server::listen(address where) {
    BOOST_OUTCOME_TRY(fd, internal::open_listener(where));
    auto* socket = h2o_evloop_socket_create(m_native->m_loop->native(), fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
    socket->data = m_native.get();
    h2o_socket_read_start(socket, &native::on_accept);
    m_native->m_listeners.push_back(socket);
    return internal::local_address(fd);
}

void http_server::stop_listening() {
    for (auto* socket : m_native->m_listeners) {
        h2o_socket_read_stop(socket);
        h2o_socket_close(socket);
    }
    m_native->m_listeners.clear();
}

void http_server::start(exchange_id key, int status,
                        std::span<const header> headers,
                        std::optional<std::uint64_t> length) {
    exchange* found = m_native->m_exchanges.find(key);
    if (!found || found->m_started)
        return;
    h2o_req_t* request = found->m_request;
    request->res.status = status;
    request->res.reason = "-";
    request->res.content_length = length.value_or(SIZE_MAX);
    if (m_closing)
        request->http1_is_persistent = 0;
    for (const header& field : headers) {
        const auto name = h2o_strdup(&request->pool, field.m_name.data(),
                                     field.m_name.size());
        const auto value = h2o_strdup(&request->pool, field.m_value.data(),
                                      field.m_value.size());
        h2o_add_header_by_str(&request->pool, &request->res.headers, name.base,
                              name.len, 1, nullptr, value.base, value.len);
    }
    found->m_started = true;
    h2o_start_response(request, &found->m_generator->m_super);
}

void http_server::send(exchange_id key, std::string_view piece, bool last) {
    exchange* found = m_native->m_exchanges.find(key);
    if (!found || !found->m_started || found->m_complete || found->m_moving)
        return;
    found->m_piece.assign(piece);
    found->m_complete = last;
    found->m_moving = true;
    auto buffer = h2o_iovec_init(found->m_piece.data(), found->m_piece.size());
    h2o_send(found->m_request, &buffer, buffer.len == 0 ? 0 : 1,
             last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void http_server::abort(exchange_id key) {
    exchange* found = m_native->m_exchanges.find(key);
    if (!found || !found->m_started)
        return;
    // h2o takes nothing while a piece is moving: end the connection instead.
    if (found->m_moving)
        shutdown(found->m_socket, SHUT_RDWR);
    else if (!found->m_complete)
        h2o_send(found->m_request, nullptr, 0, H2O_SEND_STATE_ERROR);
}

void http_server::answer(exchange_id key, int status,
                         std::span<const header> headers,
                         std::string_view body) {
    const exchange* found = m_native->m_exchanges.find(key);
    if (!found || found->m_started)
        return;
    start(key, status, headers, body.size());
    send(key, body, true);
}

bool http_server::caller_gone(exchange_id key) {
    const exchange* found = m_native->m_exchanges.find(key);
    if (!found || found->m_socket < 0)
        return !found;
    char byte{};
    const auto count = recv(found->m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

duration http_server::quiet_for() const {
    return event_loop::now() - m_native->m_last_request;
}

std::size_t http_server::active() const {
    return m_native->m_exchanges.size();
}

} // namespace skylark::io
