// HTTP/1 server on h2o: exchanges addressed by id, streamed answers with
// back-pressure.
#ifndef SKYLARK_IO_HTTP_SERVER_HPP
#define SKYLARK_IO_HTTP_SERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <skylark/config/config.hpp>
#include <skylark/core/address.hpp>
#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>

#include "io/discard_cause.hpp"
#include "io/http_message.hpp"

namespace skylark::io {

class event_loop;
class receive_windows;

/*! @brief Limits on the requests that a server accepts. */
struct server_limits {
    std::size_t m_body_bytes{std::size_t{1} << 20U};
    //! Longest time that a connection waits for a request, and longest time
    //! from the first to the last byte of one. A change applies to connections
    //! that wait, and to requests that begin later.
    duration m_idle_timeout{seconds{60}};
    std::size_t m_head_bytes{std::size_t{64} << 10U};
    //! Total received bytes of all unfinished requests. Above this total,
    //! requests that are still being received are answered with 503 and their
    //! connections closed, largest first. At least one request of maximum size
    //! is admitted.
    std::size_t m_input_bytes{defaults::input_bytes};
    //! SO_SNDBUF, read by listen(); 0: kernel's default. Bounds what counts as
    //! written although the caller has not received it.
    int m_send_buffer_bytes{};
    //! SO_RCVBUF, read by listen(); 0: kernel's default, which grows to
    //! megabytes for each connection. Without effect if the server has
    //! receive_windows.
    int m_receive_buffer_bytes{};
    //! Requests of one connection that are in progress at a time, see
    //! handlers::m_may_begin_early; 0 and 1: one begins when the one before it
    //! was answered.
    std::size_t m_concurrent_requests{8};
    //! Bytes of answers that one connection holds until their turn. Above it,
    //! m_ready is not called until then, so it may be exceeded by one piece of
    //! each answer.
    std::size_t m_held_bytes{std::size_t{256} << 10U};
};

/*! @brief Serves HTTP/1 on one or more addresses.
 *
 *  An exchange lasts from its request until its answer was sent or its caller
 *  disconnected; calls with the id of a finished exchange have no effect.
 *
 *  Requests that a caller sends behind others may be passed on early, see
 *  handlers::m_may_begin_early. Their answers are held until those before them
 *  were written. If one of those closes the connection, the exchanges behind it
 *  end as if their caller had disconnected, and nothing of them is written. */
class http_server {
public:
    /*! @brief Callbacks of the server. */
    struct handlers {
        //! A request was received; the views are valid only during the call.
        std::function<void(exchange_id, const request_view&)> m_request;
        //! The last piece given to send() was written; the next may be sent.
        std::function<void(exchange_id)> m_ready;
        //! The exchange has ended; true if its answer was complete.
        std::function<void(exchange_id, bool)> m_closed;
        //! A request was rejected with a status without being passed to
        //! m_request. What could be read of it is valid during the call only.
        std::function<void(int, const request_view&)> m_rejected;
        //! A connection was ended although bytes that the caller had sent on it
        //! were not answered; how many, as far as they are known.
        std::function<void(discard_cause, std::size_t)> m_discarded;
        //! Whether a GET or HEAD request without a body may be begun while
        //! those before it on its connection are in progress, and may be
        //! overtaken by such requests: whether it is idempotent. Without this
        //! callback no request is begun early. The views are valid only during
        //! the call.
        std::function<bool(const request_view&)> m_may_begin_early;
        //! Header fields of the 503 for a request that is ended while it is
        //! received, for the limit on all input. Without this callback there
        //! are none.
        std::function<std::vector<header>()> m_overload_headers;
    };

    /*! @brief Constructs a server that does not listen yet.
     *  @param loop must outlive the server
     *  @param limits on what is accepted
     *  @param windows receive buffers of its connections; must outlive the
     *  server if given */
    http_server(event_loop& loop, const server_limits& limits,
                receive_windows* windows = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /*! @brief Sets the callbacks; must be called before listen(). */
    void set_handlers(handlers callbacks);

    /*! @brief Starts listening.
     *  @param local address to bind; port 0 selects a free one
     *  @return the bound address, or an input_error with the reason */
    parsed<address> listen(address local);

    /*! @brief Replaces the limits on what is accepted from now on. */
    void set_limits(const server_limits& limits);

    /*! @brief Closes the listening sockets; open connections stay open. */
    void stop_listening();

    /*! @brief Makes answers close their connections from now on. An answer
     *  closes its connection if it is short, is whole when its head is sent,
     * and its caller has sent nothing behind the request; otherwise the next
     *  request is handled first. */
    void close_after_answer();

    /*! @brief Ends the server gracefully. Accepts the connections in the listen
     *  queue and closes the listening sockets; makes answers close their
     *  connections, see close_after_answer(); closes idle connections, also
     *  those that become idle later. Requests that arrive meanwhile are passed
     *  to m_request as before. Further calls have no effect.
     *  @note A request that crosses the close of an idle connection is not
     *  passed on. */
    void begin_shutdown();

    /*! @brief Whether a caller has sent what the loop would read but has not.
     */
    [[nodiscard]] bool has_unread_input() const;

    /*! @brief Ends all connections. Their callers learn at once that no answer
     *  follows, also while the process takes long to end. What was sent is
     *  still delivered, unless input arrives that nobody reads any more. */
    void end_connections();

    /*! @brief Whether the process can end without taking an answer from a
     *  caller: begin_shutdown() was called, no connection is open, and all
     *  answers were acknowledged. A caller that sends its request slowly delays
     *  this without a bound other than the idle timeout. */
    [[nodiscard]] bool drained() const;

    /*! @brief Starts an answer; does nothing if one was started.
     *  @param key exchange
     *  @param status HTTP status
     *  @param headers fields other than Content-Length and Connection
     *  @param length bytes of the body, none for a chunked body */
    void start(exchange_id key, int status, std::span<const header> headers,
               std::optional<std::uint64_t> length);

    /*! @brief Sends a piece of the body. Does nothing before start(), after
     *  the last piece, or until m_ready was called for the previous piece.
     *  @param key exchange
     *  @param piece bytes, copied
     *  @param last whether this piece ends the body */
    void send(exchange_id key, std::string_view piece, bool last);

    /*! @brief Aborts a started answer by shutting down its connection, so that
     *  the caller can tell that it is incomplete. */
    void abort(exchange_id key);

    /*! @brief Resets an exchange's connection at its end, so that the kernel
     *  drops what was not taken, unless that is of an earlier answer. */
    void reset_at_end(exchange_id key);

    /*! @brief Sends a complete answer; does nothing if one was started. To a
     *  HEAD request only the head is sent, with the length of the body. */
    void answer(exchange_id key, int status, std::span<const header> headers,
                std::string_view body);

    /*! @brief Body of an exchange's request, valid until the exchange has
     *  ended, that is until m_closed has returned.
     *  @return the bytes, empty for a finished exchange */
    [[nodiscard]] std::string_view body(exchange_id key) const;

    /*! @brief Duplicates the descriptor of an exchange's connection, for bytes
     *  that are no valid answer. Nothing else may be sent in the exchange, and
     *  the duplicate is the receiver's to close.
     *  @return -1 for a finished exchange, one that was begun early, or without
     *  a descriptor left */
    [[nodiscard]] int duplicate_descriptor(exchange_id key) const;

    /*! @brief Time since the kernel received the last bytes of an exchange's
     *  request, or of what is behind it.
     *  @return none for a finished exchange, or if the kernel does not tell */
    [[nodiscard]] std::optional<duration> since_input(exchange_id key) const;

    /*! @brief Whether the caller has closed its side of the connection or the
     *  exchange has ended. */
    bool caller_disconnected(exchange_id key);

    /*! @brief Whether the connection has failed, so that no answer can arrive,
     *  or the exchange has ended. The end of the caller's input alone does not
     *  show that: the caller may still read. */
    [[nodiscard]] bool caller_unreachable(exchange_id key) const;

    /*! @brief Bytes that the kernel keeps for an exchange's connection, as its
     *  caller has not acknowledged them. 0 for a finished exchange, or one
     *  whose answer is held. */
    [[nodiscard]] std::size_t unacknowledged(exchange_id key) const;

    /*! @brief Whether an answer is held until the ones before it on its
     *  connection were written, however long that takes. */
    [[nodiscard]] bool awaits_turn(exchange_id key) const;

    /*! @brief Number of open connections, with those that linger after the
     *  answer that ended them. */
    [[nodiscard]] std::size_t connections() const;

    /*! @brief Bytes that the kernel keeps for an exchange's connection, or for
     *  all connections. 0 for a finished exchange. */
    [[nodiscard]] std::size_t kernel_bytes(exchange_id key) const;
    [[nodiscard]] std::size_t kernel_bytes() const;

    /*! @brief Number of unfinished exchanges. */
    [[nodiscard]] std::size_t active() const;

    /*! @brief Time since the last request arrived; before the first one, since
     *  the clock's epoch. */
    [[nodiscard]] duration time_since_last_request() const;

private:
    struct native;
    std::unique_ptr<native> m_native;
};

} // namespace skylark::io

#endif
