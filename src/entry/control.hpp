// HTTP for operators and peers: health, metrics, events, queries, gossip.
#ifndef SKYLARK_ENTRY_CONTROL_HPP
#define SKYLARK_ENTRY_CONTROL_HPP

#include <string>

#include "entry/changer.hpp"
#include "entry/configurator.hpp"
#include "entry/context.hpp"
#include "entry/document_source.hpp"
#include "entry/forwarder.hpp"
#include "entry/inspector.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Serves the control address. */
class control {
public:
    control(context& shared, forwarder& data_path, configurator& config);

    parsed<void> listen();

    /*! @brief Ends the server gracefully; see io::http_server. Changes that are
     *  under way go on and are answered. */
    void begin_shutdown() { m_server.begin_shutdown(); }

    /*! @brief Whether no operator and no peer can still be waiting after
     *  begin_shutdown(). */
    [[nodiscard]] bool drained() const { return m_server.drained(); }

    /*! @brief Ends all connections; see io::http_server. */
    void end_connections() { m_server.end_connections(); }

private:
    void serve(exchange_id key, const io::request_view& request);
    void answer_ready(exchange_id key);
    void answer_instances(exchange_id key, std::string_view path);
    void answer_events(exchange_id key);
    void answer_query(exchange_id key, const io::request_view& request);
    void answer_table(exchange_id key, const table& subject);
    void answer_error(exchange_id key, int status, const input_error& why);
    void answer_change(exchange_id key, const change_result& result);
    void answer_in_force(exchange_id key, std::string_view path);
    void text(exchange_id key, int status, std::string_view body);
    void json(exchange_id key, std::string_view body);

    context& m_shared;
    const configurator& m_config;
    inspector m_inspector;
    changer m_changer;
    io::http_server m_server;
    document_source m_documents;
};

} // namespace skylark::entry

#endif
