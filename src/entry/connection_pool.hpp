/*! @file
 *  Idle connections to upstreams and their reuse. */
#ifndef SKYLARK_ENTRY_CONNECTION_POOL_HPP
#define SKYLARK_ENTRY_CONNECTION_POOL_HPP

#include <optional>

#include "entry/context.hpp"
#include "io/http_client.hpp"

namespace skylark::entry {

/*! @brief Keeps connections to upstreams open between requests. */
class connection_pool {
public:
    connection_pool(context& shared, io::http_client& client)
        : m_shared{shared}, m_client{client} {}

    /*! @brief Takes the idle connection that answered last.
     *  @param of upstream to connect to
     *  @param fresh_only accept only a connection that answered within
     *  defaults::fresh_connection_age, for requests that must not be repeated
     *  @return the connection; nothing if a new one must be opened, in which
     *  case the oldest idle connection, if any, was closed to make room */
    std::optional<connection_id> take(upstream& of, bool fresh_only);

    /*! @brief Returns a connection after a complete response. */
    void keep(upstream& of, connection_id connection);

    /*! @brief Closes the idle connections that have not answered since a
     *  reused connection failed to answer: a firewall or NAT on the way may
     *  have dropped their state.
     *  @param of upstream of the connections
     *  @param unanswered_since when the request was sent that got no answer */
    void close_stale(upstream& of, time_point unanswered_since);

    /*! @brief Closes connections idle for longer than
     *  defaults::idle_connection_limit. */
    void close_expired();

    /*! @brief Closes all idle connections to an upstream. */
    void close_all(upstream& of);

private:
    void close_oldest(upstream& of);

    context& m_shared;
    io::http_client& m_client;
};

} // namespace skylark::entry

#endif
