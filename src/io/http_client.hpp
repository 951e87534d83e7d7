// HTTP/1 client connections, addressed by id; one request at a time, without
// pipelining.
#ifndef SKYLARK_IO_HTTP_CLIENT_HPP
#define SKYLARK_IO_HTTP_CLIENT_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <skylark/core/address.hpp>
#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>

#include "io/client_event.hpp"

namespace skylark::io {

class event_loop;
class receive_windows;

/*! @brief Owns client connections. Each reports its events to its handler;
 *  calls with the id of a closed connection have no effect.
 *
 *  h2o's own client accepts a chunked body that was truncated between two
 *  chunks as complete, so this class parses responses itself, with the parser
 *  that h2o exports. */
class http_client {
public:
    using handler = std::function<void(connection_id, const client_event&)>;

    /*! @brief Limits and socket options for all connections of a client. */
    struct limits {
        //! How long a peer may give no sign of life where TCP owes one: to
        //! connect, and while a request is in progress. A peer that takes
        //! nothing in is not silent.
        duration m_silence_limit{seconds{2}};
        int m_receive_buffer_bytes{}; //!< SO_RCVBUF; 0: kernel's default
        //! Maximum bytes outside of the body: heads, chunk framing and
        //! trailers. The default is the size that servers commonly accept for
        //! a request head.
        std::size_t m_head_bytes{std::size_t{64} << 10U};
        //! The same beside it for each byte of the body. The default leaves
        //! room for chunks of one byte.
        std::size_t m_framing_per_body_byte{8};
        //! Input of one connection that is read and processed at a time, before
        //! others have their turn; with the head, it bounds the memory for
        //! input of each connection.
        std::size_t m_turn_bytes{std::size_t{16} << 10U};
    };

    /*! @brief Constructs a client without connections.
     *  @param loop must outlive the client
     *  @param bounds limits for each connection
     *  @param windows receive buffers of the connections, in place of
     *  m_receive_buffer_bytes; must outlive the client if given */
    http_client(event_loop& loop, const limits& bounds,
                receive_windows* windows = nullptr);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /*! @brief Opens a connection. Its first event is connected or
     *  connection_failed, always after this call has returned.
     *  @param server address to connect to
     *  @param on_event called for each event of the connection
     *  @return id of the connection */
    connection_id open(address server, handler on_event);

    /*! @brief Replaces the handler of a connection, for example when it is
     *  taken from a pool. */
    void rebind(connection_id key, handler on_event);

    /*! @brief Sends a request. Does nothing unless the connection is connected
     *  and has no request in progress.
     *  @param key the connection
     *  @param bytes head and body as sent on the wire
     *  @param head_only whether the response has no body (method HEAD) */
    void send(connection_id key, std::string bytes, bool head_only);

    /*! @brief As above, but does not copy the body.
     *  @param key the connection
     *  @param head bytes up to and including the blank line
     *  @param body must stay valid until writing() is false or the connection
     *  is closed
     *  @param head_only whether the response has no body (method HEAD) */
    void send(connection_id key, std::string head, std::string_view body,
              bool head_only);

    /*! @brief Whether the write of the request is still in progress. */
    [[nodiscard]] bool writing(connection_id key);

    /*! @brief Stops reading until resume() or the end of the response. */
    void pause(connection_id key);

    /*! @brief Continues reading after pause(). */
    void resume(connection_id key);

    /*! @brief Discards a response that belongs to another request and waits
     *  for the next one, which is reported from its head on. The connection is
     *  not reusable then.
     *  @note Invalid outside of the call of the handler with head_received.
     *  @return false, without effect, if the end of the response is not known:
     *  it ends with the connection, or the connection has carried HEAD */
    bool skip_response(connection_id key);

    /*! @brief Closes a connection without reporting an event. */
    void close(connection_id key);

    /*! @brief Whether a request can be sent: the connection is connected and
     *  idle, has no unread input, and the server has not closed it. */
    bool usable(connection_id key);

    /*! @brief Bytes that were received on a connection and not reported yet. */
    [[nodiscard]] std::size_t unreported(connection_id key) const;

    /*! @brief Bytes that the kernel keeps for a connection, or for all. */
    [[nodiscard]] std::size_t kernel_bytes(connection_id key) const;
    [[nodiscard]] std::size_t kernel_bytes() const;

    /*! @brief Number of connections, including those being opened. */
    [[nodiscard]] std::size_t size() const;

private:
    struct native;
    std::unique_ptr<native> m_native;
};

} // namespace skylark::io

#endif
