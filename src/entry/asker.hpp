// Asks single upstreams for their load, on the connections of the data path.
#ifndef SKYLARK_ENTRY_ASKER_HPP
#define SKYLARK_ENTRY_ASKER_HPP

#include <functional>
#include <string>

#include <skylark/core/id_map.hpp>

#include "entry/connection_pool.hpp"
#include "entry/context.hpp"
#include "io/http_client.hpp"

namespace skylark::entry {

/*! @brief An answer shows the load of this moment, and that the connection it
 *  came on is alive: the request that follows takes the same one. */
class asker {
public:
    using callback = std::function<void()>;

    asker(context& shared, io::http_client& client, connection_pool& pool)
        : m_shared{shared}, m_client{client}, m_pool{pool} {}

    /*! @brief Asks one upstream.
     *  @param whom the upstream
     *  @param path its health path
     *  @param done is called once, after the upstream's load has been taken
     *  in or the question has failed; never before this call has returned */
    void ask(upstream& whom, std::string_view path, callback done);

private:
    using question_id = id<struct question_tag>;
    struct question {
        upstream_id m_upstream;
        connection_id m_connection;
        std::string m_output;
        callback m_done;
        timer_id m_timer;
        time_point m_asked;
        bool m_reused{};
        bool m_usable{}; // the answer so far is one to this question
        health_info m_signs;
        std::string m_body;
    };

    void handle(question_id key, const io::client_event& what);
    void finish(question_id key, bool answered, bool reusable);
    void send(question_id key);
    void take(upstream& from, const question& of);
    void fail(upstream& from, const question& of);

    context& m_shared;
    io::http_client& m_client;
    connection_pool& m_pool;
    id_map<question_id, question> m_questions;
};

} // namespace skylark::entry

#endif
