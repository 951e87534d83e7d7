// State of the HTTP server; private to http_server.cpp,
// http_server_accepting.cpp, http_server_connections.cpp, http_server_early.cpp
// and http_server_native.cpp.
#ifndef SKYLARK_IO_HTTP_SERVER_NATIVE_HPP
#define SKYLARK_IO_HTTP_SERVER_NATIVE_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <skylark/core/id_map.hpp>

#include "io/held_answer.hpp"
#include "io/held_bounds.hpp"
#include "io/http_server.hpp"
#include "io/lingering_connections.hpp"
#include "io/listener.hpp"
#include "io/native.hpp"

namespace skylark::io {

namespace internal {

struct generator;

// Lives from the request until h2o disposes of its memory pool. One that was
// begun early has no request of h2o yet.
struct exchange {
    h2o_req_t* m_request;
    generator* m_generator; // allocated from the request's pool
    int m_socket;
    connection_id m_connection;
    bool m_head_only; // HEAD request
    // Whether requests behind it may be begun; found out when there are any.
    std::optional<bool> m_may_be_overtaken;
    // Of an exchange that was begun early, until the answer was passed to h2o.
    // Invariant: with a request of h2o, m_send_pending is true.
    std::optional<held_answer> m_held;
    std::size_t m_size{}; // bytes of a request that was begun early
    std::string m_piece;
    bool m_started{};
    bool m_head_sent{}; // whether the connection closes is decided
    bool m_complete{};
    bool m_send_pending{}; // h2o has not reported the last send as done
};

// Allocated from the request's pool; h2o calls its function pointers.
struct generator {
    h2o_generator_t m_super; // must be first: h2o passes a pointer to it
    void* m_server;
    exchange_id m_key;
};

struct handler {
    h2o_handler_t m_super; // must be first: h2o passes a pointer to it
    void* m_server;
};

struct filter {
    h2o_filter_t m_super; // must be first: h2o passes a pointer to it
    void* m_server;
};

// Allocated from the pool of a request that is answered; h2o disposes of the
// pool before it closes the connection.
struct answer_guard {
    void* m_server;
    h2o_req_t* m_request;
};

// Lives until h2o closes the socket, whose close callback points to it.
struct accepted_connection {
    void* m_server;
    h2o_socket_t* m_socket;
    time_point m_accepted;
    connection_id m_key;
    bool m_ended{};        // shut down while idle; requests are not passed on
    bool m_broken_off{};   // its last answer was broken off
    bool m_reset_at_end{}; // what its caller has not taken is dropped
    bool m_wide{};         // its receive buffer is to be released
    held_bounds m_held;    // of what had arrived when limits were lowered
    // Duplicate of its descriptor after a request was rejected and until the
    // next one is whole, as h2o closes on input that never becomes one.
    int m_kept{-1};
    std::size_t m_answer_bytes{}; // written up to the end of the last answer
    // Since when, and how long at most, it waits for a request or receives one.
    time_point m_since;
    duration m_time_limit{};
    bool m_receiving{};
    bool m_overdue{};    // at the last check
    exchange_id m_front; // of the request that h2o has handed over
    // Exchanges that were begun behind it, in the order of their requests.
    std::vector<exchange_id> m_early;
    bool m_no_early{}; // an answer on its way or held closes the connection
    // The request behind those may not begin early.
    bool m_early_stopped{};
    // Bytes behind the front request when the last of them were the begin of a
    // request; 0 otherwise.
    std::size_t m_unfinished{};
    std::uint64_t m_iteration{};        // in which the last request came
    std::size_t m_iteration_requests{}; // that came in it
};

} // namespace internal

/*! @brief The server's connections and the callbacks that h2o runs for
 *  them. */
struct http_server::native {
    explicit native(event_loop& loop) : m_loop{&loop}, m_lingering{loop} {}

    event_loop* m_loop;
    lingering_connections m_lingering;
    h2o_globalconf_t m_config{};
    h2o_context_t m_context{};
    h2o_accept_ctx_t m_accept{};
    std::vector<h2o_socket_t*> m_listeners;
    handlers m_handlers;
    id_map<exchange_id, internal::exchange> m_exchanges;
    id_map<connection_id, internal::accepted_connection> m_connections;
    request_bounds m_bounds;           // in force
    request_bounds m_widest;           // in force or held for any connection
    std::size_t m_total_input_limit{}; // bytes of all requests
    internal::buffer_sizes m_buffers;  // see server_limits
    receive_windows* m_windows{};      // null: none
    duration m_idle_timeout{};
    std::vector<header_view>
        m_headers; // of the present request; reused to save allocations
    time_point m_last_request;
    std::size_t m_concurrent_requests{};
    std::size_t m_held_limit{}; // bytes of held answers of one connection
    std::size_t m_held_bytes{}; // of all connections
    bool m_watching{};          // watch_input() is planned
    std::size_t m_most_connections{};
    bool m_accept_paused{}; // none are accepted, and short answers close
    bool m_closing{};       // short answers close
    bool m_shutting_down{};

    // Sockets whose requests were received whole and are in progress.
    [[nodiscard]] std::set<int> sockets_in_exchange();
    bool accept_one(h2o_socket_t* listener);
    void accept_queued(h2o_socket_t* listener);
    static std::size_t most_connections();
    [[nodiscard]] bool is_full() const;
    void pause_accepting();
    void end_longest_idle(std::size_t most);
    void end_idle();
    void end_overdue();
    void set_bounds(const request_bounds& bounds);
    // h2o knows one limit on bodies, which must spare those that are held.
    void widen_bounds();
    void close_oversized();
    void limit_total_input();
    // Gives wide receive buffers to connections with long uploads.
    void widen_windows();
    // Answers a request that is still being received and ends its connection.
    void refuse_receiving(internal::accepted_connection& connection);
    static int on_request(h2o_handler_t* self, h2o_req_t* request);
    static void on_accept(h2o_socket_t* listener, const char* error);
    static void on_socket_close(void* data);
    static void on_answer(h2o_filter_t* self, h2o_req_t* request,
                          h2o_ostream_t** slot);
    static void on_answer_end(void* self);
    static void on_proceed(h2o_generator_t* self, h2o_req_t* request);
    static void on_stop(h2o_generator_t* self, h2o_req_t* request);
    static void on_dispose(void* self);

    // Returns whether a request is within the bound for an iteration.
    bool count_request(internal::accepted_connection& connection) const;
    void handle(internal::accepted_connection& connection, h2o_req_t* request);

    static h2o_socket_t* socket_of(h2o_req_t* request);
    void discarded(discard_cause cause, std::size_t bytes) const;
    // Keeps a connection that h2o closes next until its caller has the answer.
    void linger(internal::accepted_connection& connection);
    // Ends a connection that h2o reads; answers on their way arrive.
    void end_receiving(internal::accepted_connection& connection);
    exchange_id open(h2o_req_t* request);
    std::size_t collect_headers(h2o_req_t* request);
    // Valid until the next call.
    request_view view_of(h2o_req_t* request);
    // Answers a request that was read whole and exceeds its bounds.
    bool reject_oversized(h2o_req_t* request, std::size_t head_size) const;
    void reject(h2o_req_t* request, int status, const char* reason,
                const std::string& text) const;
    void start(internal::exchange& item, int status,
               std::span<const header> headers,
               std::optional<std::uint64_t> length);
    void break_off(internal::exchange& item);
    // Passes a piece of an answer to h2o.
    void write(internal::exchange& item, std::string piece, bool last);

    // Requests that are begun before h2o hands them over.
    [[nodiscard]] bool begins_early() const;
    void begin_early(connection_id key);
    bool begin_next(connection_id key);
    bool may_be_overtaken(internal::exchange& front);
    // Begins requests that arrive while others are in progress.
    void watch_input();
    void plan_watch();
    // Gives a request to the exchange that was begun for it, if there is one.
    bool join(h2o_req_t* request);
    void write_joined(exchange_id key);
    // Passes what is held to h2o; returns whether the sender may go on.
    bool write_held(internal::exchange& item);
    void hold(exchange_id key, std::string_view piece, bool last);
    void abort_held(internal::exchange& item, exchange_id key);
    // Lets the sender of a held answer go on if there is room.
    void grant(exchange_id key);
    [[nodiscard]] bool has_room(connection_id key);
    // Ends the exchanges behind the first ones of a connection's early ones.
    void end_early(internal::accepted_connection& connection, std::size_t kept);
    void erase_exchange(exchange_id key);
};

} // namespace skylark::io

#endif
