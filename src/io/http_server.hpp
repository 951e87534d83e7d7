// HTTP/1 server on h2o: exchanges by id, streaming with back-pressure.
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

#include "io/http_message.hpp"

namespace skylark::io {

class event_loop;

/*! @brief Bounds of what a server accepts. */
struct server_limits {
    std::size_t m_body_bytes{std::size_t{1} << 20U};
    duration m_idle{seconds{60}};
    std::size_t m_head_bytes{std::size_t{64} << 10U};
    //! Received bytes of all requests that are not over. Beyond it, requests
    //! that are still coming in lose their connections, largest first.
    std::size_t m_input_bytes{defaults::input_bytes};
};

/*! @brief Serves HTTP/1 on one or more addresses.
 *
 *  An exchange lives from its request until its answer is out or its caller
 *  has gone; calls that name a finished exchange do nothing. */
class http_server {
public:
    /*! @brief Who is told what. */
    struct handlers {
        std::function<void(exchange_id, const request_view&)> m_request;
        //! The last piece given to send() has been handed on.
        std::function<void(exchange_id)> m_ready;
        //! The exchange is over; true when its answer was complete.
        std::function<void(exchange_id, bool)> m_closed;
    };

    http_server(event_loop& loop, const server_limits& limits);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /*! @brief Sets the handlers; call before listen. */
    void handle(handlers who);

    /*! @brief Starts listening.
     *  @param where address; port 0 takes a free one
     *  @return the address in use, or the error */
    parsed<address> listen(address where);

    /*! @brief Sets the bounds for what is accepted from now on. */
    void bound(const server_limits& limits);

    /*! @brief Stops accepting; open connections stay. */
    void stop_listening();

    /*! @brief From now on each answer ends its connection. */
    void close_after_answer() { m_closing = true; }

    /*! @brief Begins an answer.
     *  @param key exchange
     *  @param status HTTP status
     *  @param headers fields besides length and connection
     *  @param length body length, none for a chunked body */
    void start(exchange_id key, int status, std::span<const header> headers,
               std::optional<std::uint64_t> length);

    /*! @brief Hands over a piece of the body; the next one only after ready.
     *  @param key exchange
     *  @param piece bytes, copied
     *  @param last whether the body ends here */
    void send(exchange_id key, std::string_view piece, bool last);

    /*! @brief Breaks a begun answer so that the caller sees it broken. */
    void abort(exchange_id key);

    /*! @brief Whole answer in one call; nothing when one has begun. */
    void answer(exchange_id key, int status, std::span<const header> headers,
                std::string_view body);

    /*! @brief Body of an exchange's request; its bytes stay in place until the
     *  exchange is over, that is until m_closed has returned.
     *  @return the bytes, none for an exchange that is over */
    [[nodiscard]] std::string_view body(exchange_id key) const;

    /*! @brief Whether the caller has closed its side. */
    bool caller_gone(exchange_id key);

    /*! @brief Exchanges that are not over. */
    [[nodiscard]] std::size_t active() const;

    /*! @brief Time since the last request arrived. */
    [[nodiscard]] duration quiet_for() const;

private:
    struct native;
    std::unique_ptr<native> m_native;
    bool m_closing{};
};

} // namespace skylark::io

#endif
