// State of client connections; private to the files of http_client.
#ifndef SKYLARK_IO_HTTP_CLIENT_NATIVE_HPP
#define SKYLARK_IO_HTTP_CLIENT_NATIVE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <skylark/core/id_map.hpp>

#include "io/http_client.hpp"
#include "io/native.hpp"
#include "io/peer_silence.hpp"
#include "io/read_budget.hpp"
#include "io/response_parser.hpp"

namespace skylark::io {

namespace internal {

/*! @brief State of a connection. */
enum class phase : std::uint8_t {
    connecting,
    idle,
    head,
    body,
    awaiting_write, //!< response complete, write of its request not reported
    closed
};

/*! @brief One connection. */
struct connection {
    http_client::handler m_handler;
    h2o_socket_t* m_socket{};
    void* m_owner{};
    connection_id m_key;
    response_parser m_parser;
    std::string m_output; // must outlive h2o's write
    // Received and not processed yet. Invariant: nothing more is read while it
    // holds the begin of a body that was left by pause().
    std::string m_input;
    phase m_phase{phase::connecting};
    peer_silence m_silence;         // of the request in progress
    std::size_t m_overhead_bytes{}; // input of the response besides its body
    std::size_t m_body_bytes{};     // of the response
    std::size_t m_skipped_bytes{};  // input of responses that were skipped
    bool m_bytes_sent{};
    bool m_writing{};      // h2o has not reported the write as done
    bool m_write_failed{}; // what has arrived is still handled
    bool m_head_only{};
    // A HEAD request was sent. An extra response may then have no body though
    // its head announces one.
    bool m_head_sent{};
    bool m_skipping{}; // the response in progress is not reported
    bool m_skipped{};  // one was; the next may come at any time
    bool m_paused{};
    bool m_wide{}; // its receive buffer is to be released
};

} // namespace internal

/*! @brief The client's connections and the callbacks that h2o runs for
 *  them. */
struct http_client::native {
    event_loop* m_loop;
    limits m_limits;
    receive_windows* m_windows; // null: none
    id_map<connection_id, internal::connection> m_connections;
    timer_id m_watch{}; // runs while a request is in progress
    std::vector<char> m_read_buffer;
    read_budget m_budget{};

    static void on_connect(h2o_socket_t* socket, const char* error);
    static void on_write(h2o_socket_t* socket, const char* error);
    static void on_read(h2o_socket_t* socket, const char* error);

    void report(internal::connection& conn, const client_event& event);
    void fail(internal::connection& conn, std::string_view cause);
    void close_socket(internal::connection& conn);
    bool advance(internal::connection& conn);
    bool advance_head(internal::connection& conn);
    bool advance_body(internal::connection& conn);
    bool check_overhead(internal::connection& conn);
    void finish(internal::connection& conn, std::size_t rest,
                bool close_delimited);
    bool finish_skipped(internal::connection& conn);
    void finish_awaited_write(connection_id key);
    void complete(internal::connection& conn, bool reusable,
                  bool close_delimited);
    void handle_end_of_stream(internal::connection& conn, const char* error);
    // Creates the socket of a connection and begins to connect.
    bool connect(internal::connection& conn, address server);
    void receive(internal::connection& conn);
    void process_input(connection_id key);
    void continue_reading(connection_id key);
    void set_socket_options(int fd) const;
    void widen(internal::connection& conn);
    static void end_kernel_limit(const internal::connection& conn);
    void watch(internal::connection& conn);
    void end_silent();
};

} // namespace skylark::io

#endif
