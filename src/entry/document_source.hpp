// Serves the configuration in force to other entries.
#ifndef SKYLARK_ENTRY_DOCUMENT_SOURCE_HPP
#define SKYLARK_ENTRY_DOCUMENT_SOURCE_HPP

#include <string>
#include <string_view>

#include <skylark/config/upload_limit.hpp>

#include "entry/context.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Answers GET /peer/config.
 *
 *  Compressed for whoever accepts it; 304 for whoever has nothing to gain; 503
 *  with the addresses of other holders in Config-Holders while as many entries
 *  as the link bears are being served. Requests that name no entry of their own
 *  in Entry-Control, as those of operators, are always served. */
class document_source {
public:
    /*! @param shared must outlive the source
     *  @param server the exchanges are of */
    document_source(context& shared, io::http_server& server)
        : m_shared{shared}, m_server{server} {}

    void answer(exchange_id key, const io::request_view& request);

    /*! @brief An exchange of the server has ended. */
    void exchange_ended(exchange_id key, bool complete) {
        m_uploads.ended(key, complete);
    }

private:
    [[nodiscard]] bool gains_nothing(const io::request_view& request);
    void refuse(exchange_id key);

    context& m_shared;
    io::http_server& m_server;
    upload_limit m_uploads;
    store_position m_served; // of the version that m_uploads knows
};

} // namespace skylark::entry

#endif
