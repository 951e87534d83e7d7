// Small whole HTTP exchanges: platform, probes, peers, operators' client.
#ifndef SKYLARK_IO_FETCHER_HPP
#define SKYLARK_IO_FETCHER_HPP

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/core/id_map.hpp>
#include <skylark/core/time.hpp>

#include "io/http_client.hpp"
#include "io/http_message.hpp"

namespace skylark::io {

/*! @brief One request. */
struct fetch_request {
    address m_to;
    std::string m_method{"GET"};
    std::string m_path;
    std::vector<header> m_headers;
    std::string m_body;
    duration m_timeout{seconds{1}};
    std::string m_host; //!< that is asked for; empty: the address
};

/*! @brief A whole answer. */
struct fetch_answer {
    int m_status{};
    std::vector<header> m_headers;
    std::string m_body;

    /*! @brief Value of a header, empty when it is absent. */
    [[nodiscard]] std::string_view header_value(std::string_view name) const;
};

/*! @brief No whole answer came. */
struct fetch_failure {
    bool m_may_have_run; //!< whether the request may have taken effect
    std::string m_cause;
};

using fetch_result = std::variant<fetch_answer, fetch_failure>;

/*! @brief Runs requests, each on a connection of its own. */
class fetcher {
public:
    using callback = std::function<void(const fetch_result&)>;

    fetcher(event_loop& loop, std::size_t body_limit);

    /*! @brief Starts a request.
     *  @param what the request
     *  @param done is called once, never before this call has returned */
    void run(const fetch_request& what, callback done);

private:
    using fetch_id = id<struct fetch_tag>;
    struct fetch {
        std::string m_output;
        bool m_head_only{};
        callback m_done;
        connection_id m_connection;
        timer_id m_timer;
        bool m_sent{};
        fetch_answer m_answer;
    };

    void handle(fetch_id key, const client_event& what);
    void finish(fetch_id key, const fetch_result& result);
    void take_head(fetch& of, const response_head& head);

    event_loop& m_loop;
    std::size_t m_body_limit; // bytes
    http_client m_client;
    id_map<fetch_id, fetch> m_fetches;
};

/*! @brief Writes a request head and body as they go out.
 *  @param what the request
 *  @return bytes with Host and Content-Length */
std::string format_request(const fetch_request& what);

} // namespace skylark::io

#endif
