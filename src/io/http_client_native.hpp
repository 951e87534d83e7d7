// State of client connections; private to http_client's two sources.
#ifndef SKYLARK_IO_HTTP_CLIENT_NATIVE_HPP
#define SKYLARK_IO_HTTP_CLIENT_NATIVE_HPP

#include <cstdint>
#include <string>

#include <skylark/core/id_map.hpp>

#include "io/http_client.hpp"
#include "io/native.hpp"
#include "io/response_parser.hpp"

namespace skylark::io {

namespace internal {

/*! @brief What a connection is doing. */
enum class phase : std::uint8_t {
    connecting,
    idle,
    head,
    body,
    settling, //!< the answer is whole, its request's write not yet reported
    closed
};

/*! @brief One connection. */
struct connection {
    http_client::handler m_handler;
    h2o_socket_t* m_socket{};
    void* m_owner{};
    connection_id m_key;
    response_parser m_parser;
    std::string m_output; // stays until the kernel has all of it
    phase m_phase{phase::connecting};
    std::size_t m_overhead{}; // bytes without body, since its last piece
    bool m_bytes_sent{};
    bool m_writing{}; // h2o has not yet reported the write
    bool m_head_only{};
    bool m_paused{};
};

} // namespace internal

/*! @brief The client's connections and what h2o calls for them. */
struct http_client::native {
    event_loop* m_loop;
    limits m_limits;
    id_map<connection_id, internal::connection> m_connections;

    static void on_connect(h2o_socket_t* socket, const char* error);
    static void on_write(h2o_socket_t* socket, const char* error);
    static void on_read(h2o_socket_t* socket, const char* error);

    void report(internal::connection& from, const client_event& what);
    void fail(internal::connection& from, std::string_view cause);
    void shut(internal::connection& from);
    bool advance(internal::connection& from);
    bool advance_head(internal::connection& from);
    bool advance_body(internal::connection& from);
    bool bounded(internal::connection& from);
    void finish(internal::connection& from, std::size_t rest, bool unchecked);
    void settle(connection_id key);
    void complete(internal::connection& from, bool reusable, bool unchecked);
    void end_of_stream(internal::connection& from, const char* error);
    void read_buffered(connection_id key);
    void tune(int fd) const;
};

} // namespace skylark::io

#endif
