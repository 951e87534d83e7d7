// HTTP/1 client connections by id: one request at a time, no pipelining.
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

/*! @brief Owns client connections. Each reports to the handler it was opened
 *  with; calls that name a closed connection do nothing.
 *
 *  h2o's own client takes a chunked body that was cut between two chunks for
 *  a whole one, so responses are read here with the parser h2o exports. */
class http_client {
public:
    using handler = std::function<void(connection_id, const client_event&)>;

    /*! @brief Bounds for all connections of one client. */
    struct limits {
        duration m_unacknowledged{seconds{2}}; //!< TCP_USER_TIMEOUT
        int m_receive_buffer{};                //!< bytes, 0: kernel's choice
        //! Bytes of a response that carry no body, each time before the next
        //! piece of it; as much as servers commonly take of a request's head.
        std::size_t m_head_bytes{std::size_t{64} << 10U};
    };

    http_client(event_loop& loop, const limits& bounds);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /*! @brief Opens a connection; connected or connection_failed follows,
     *  never before this call has returned.
     *  @param to address of the server
     *  @param who is told what happens
     *  @return id of the connection */
    connection_id open(address to, handler who);

    /*! @brief Replaces the handler, for a connection taken from a pool. */
    void rebind(connection_id key, handler who);

    /*! @brief Hands a request to the kernel.
     *  @param key connection that is connected and has no request
     *  @param bytes head and body as they go out
     *  @param head_only whether the answer has no body (method HEAD) */
    void send(connection_id key, std::string bytes, bool head_only);

    /*! @brief As above, with a body that is not copied.
     *  @param key connection that is connected and has no request
     *  @param head bytes up to the blank line
     *  @param body must stay in place until writing() is false or the
     *  connection is closed
     *  @param head_only whether the answer has no body (method HEAD) */
    void send(connection_id key, std::string head, std::string_view body,
              bool head_only);

    /*! @brief Whether a part of the request still waits for the kernel. */
    [[nodiscard]] bool writing(connection_id key);

    /*! @brief Stops reading until resume(). */
    void pause(connection_id key);
    void resume(connection_id key);

    /*! @brief Closes without a report. */
    void close(connection_id key);

    /*! @brief Whether the connection is there and its peer has not closed. */
    bool usable(connection_id key);

    [[nodiscard]] std::size_t size() const;

private:
    struct native;
    std::unique_ptr<native> m_native;
};

} // namespace skylark::io

#endif
