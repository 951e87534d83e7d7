// HTTP for operators and peers: health, metrics, events, queries, gossip.
#ifndef SKYLARK_ENTRY_CONTROL_HPP
#define SKYLARK_ENTRY_CONTROL_HPP

#include <string>

#include "entry/configurator.hpp"
#include "entry/context.hpp"
#include "entry/forwarder.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Serves the control address. */
class control {
public:
    control(context& shared, forwarder& data_path, configurator& config);

    parsed<void> listen();

private:
    void serve(exchange_id key, const io::request_view& request);
    void answer_ready(exchange_id key);
    void answer_config(exchange_id key);
    void answer_instances(exchange_id key);
    void answer_events(exchange_id key);
    void text(exchange_id key, int status, std::string_view body);
    void json(exchange_id key, std::uint64_t revision, std::string_view body);

    context& m_shared;
    forwarder& m_forwarder;
    configurator& m_configurator;
    io::http_server m_server;
};

} // namespace skylark::entry

#endif
