// Lookups and readiness on addresses of their own.
#ifndef SKYLARK_ENTRY_LOOKUP_HPP
#define SKYLARK_ENTRY_LOOKUP_HPP

#include "entry/context.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Whether the entry takes requests now.
 *  @return empty when it does, else why it does not */
std::string_view unready_reason(const context& shared);

/*! @brief Tells callers where to connect, and the platform whether this entry
 *  takes requests; the callers' own address carries nothing but requests. */
class lookup {
public:
    explicit lookup(context& shared);

    /*! @brief Binds the addresses of the settings, if there are any. */
    parsed<void> listen();

private:
    void serve(exchange_id key, const io::request_view& request);

    context& m_shared;
    io::http_server m_server;
};

} // namespace skylark::entry

#endif
