// Idle connections to upstreams, and which of them a request may use.
#ifndef SKYLARK_ENTRY_CONNECTION_POOL_HPP
#define SKYLARK_ENTRY_CONNECTION_POOL_HPP

#include <optional>

#include "entry/context.hpp"
#include "io/http_client.hpp"

namespace skylark::entry {

/*! @brief Keeps connections between requests. */
class connection_pool {
public:
    connection_pool(context& shared, io::http_client& client)
        : m_shared{shared}, m_client{client} {}

    /*! @brief Takes an idle connection.
     *  @param of the upstream
     *  @param fresh_only only one that answered a short while ago, for work
     *  that cannot be repeated
     *  @return none when a new connection has to be opened */
    std::optional<connection_id> take(upstream& of, bool fresh_only);

    /*! @brief Keeps a connection whose answer was whole. */
    void keep(upstream& of, connection_id connection);

    /*! @brief A reused connection stayed silent: closes all that have not
     *  answered since, as something between may have lost track of them. */
    void suspect(upstream& of, time_point silent_since);

    /*! @brief Closes connections that were unused for long. */
    void close_old();

    void close_all(upstream& of);

private:
    void drop_oldest(upstream& of);

    context& m_shared;
    io::http_client& m_client;
};

} // namespace skylark::entry

#endif
