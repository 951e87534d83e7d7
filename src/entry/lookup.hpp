/*! @file
 *  Server for entry lookups and readiness checks, on addresses of its own. */
#ifndef SKYLARK_ENTRY_LOOKUP_HPP
#define SKYLARK_ENTRY_LOOKUP_HPP

#include "entry/context.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Why the entry does not accept requests now.
 *  @return the reason; empty if it accepts requests */
std::string_view unready_reason(const context& shared);

/*! @brief Answers callers that look up entry addresses and the platform's
 *  readiness checks. The address for callers serves requests only. */
class lookup {
public:
    explicit lookup(context& shared);

    /*! @brief Binds the lookup and readiness addresses that are set.
     *  @return error if one cannot be bound */
    parsed<void> listen();

    /*! @brief Ends the server gracefully; see io::http_server. */
    void begin_shutdown() { m_server.begin_shutdown(); }

    /*! @brief Whether no caller can still be waiting after begin_shutdown(). */
    [[nodiscard]] bool drained() const { return m_server.drained(); }

    /*! @brief Ends all connections; see io::http_server. */
    void end_connections() { m_server.end_connections(); }

private:
    void serve(exchange_id key, const io::request_view& request);

    context& m_shared;
    io::http_server m_server;
};

} // namespace skylark::entry

#endif
