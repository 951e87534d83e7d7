// Operators' address of the store's stand-in: keys and faults.
#ifndef STANDIN_STORE_OPERATOR_HPP
#define STANDIN_STORE_OPERATOR_HPP

#include <map>
#include <string>

#include <skylark/core/address.hpp>

#include "io/event_loop.hpp"
#include "io/http_server.hpp"
#include "standin/kv_store.hpp"

namespace standin {

/*! @brief HTTP for operators and servers. Faults of the store do not reach it.
 *  Servers write their records again by themselves, with each heartbeat.
 *
 *  - PUT /standin/key?key=K writes the body, unless it is there already
 *  - DELETE /standin/key?key=K
 *  - PUT /standin/faults?refusing&limiting&silent&losing&delay_ms=N sets all
 *    faults; without a field there are none
 *  - PUT /standin/forget drops the history
 *  - PUT /standin/restore?age_ms=N&rewrite_ms=M returns to a copy of N ms ago
 *    (404: there is none); after M ms operators write and remove again what
 *    was lost */
class store_operator {
public:
    store_operator(skylark::io::event_loop& loop, kv_store& store);

    skylark::parsed<skylark::address> listen(skylark::address where) {
        return m_server.listen(where);
    }

private:
    void serve(skylark::exchange_id key,
               const skylark::io::request_view& request);
    void put(const std::string& name, const std::string& value);
    void write_again();

    skylark::io::event_loop& m_loop;
    kv_store& m_store;
    skylark::io::http_server m_server;
    std::map<std::string, std::string> m_written; // last value of each key
};

} // namespace standin

#endif
