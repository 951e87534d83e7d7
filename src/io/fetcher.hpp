// Buffered HTTP requests, used for the platform, probes, peers and the
// operators' client.
#ifndef SKYLARK_IO_FETCHER_HPP
#define SKYLARK_IO_FETCHER_HPP

#include <functional>
#include <optional>
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
    //! Until the answer is complete, or until it begins if m_piece_timeout is
    //! set.
    duration m_timeout{seconds{1}};
    //! Longest time between two pieces of an answer that has begun. For answers
    //! whose size has no small bound: one that makes progress is not given up.
    std::optional<duration> m_piece_timeout;
    std::string m_host; //!< value of the Host header; empty: m_to
};

/*! @brief A complete answer. */
struct fetch_answer {
    int m_status{};
    std::vector<header> m_headers;
    std::string m_body;

    /*! @brief First value of a header, empty if it is absent.
     *  @param name name of the header in any case */
    [[nodiscard]] std::string_view header_value(std::string_view name) const;
};

/*! @brief No complete answer was received. A body that only the close of the
 *  connection ends is never known to be complete. */
struct fetch_failure {
    bool m_may_have_run; //!< whether the server may have run the request
    std::string m_cause;
};

using fetch_result = std::variant<fetch_answer, fetch_failure>;

/*! @brief Sends requests, each on its own connection, and buffers their
 *  answers. */
class fetcher {
public:
    using callback = std::function<void(const fetch_result&)>;
    using fetch_id = id<struct fetch_tag>;

    /*! @brief Constructs a fetcher without requests.
     *  @param loop must outlive the fetcher
     *  @param body_limit largest accepted body of an answer, in bytes; larger
     *  ones fail */
    fetcher(event_loop& loop, std::size_t body_limit);

    /*! @brief Starts a request.
     *  @param request the request
     *  @param done called once, always after this call has returned
     *  @param on_input called for the head and for each piece of the answer
     *  @return id for cancel() */
    fetch_id run(const fetch_request& request, callback done,
                 std::function<void()> on_input = {});

    /*! @brief Ends a request without calling its callback; does nothing if it
     *  has ended. */
    void cancel(fetch_id key);

private:
    struct fetch {
        std::string m_output;
        bool m_head_only{};
        callback m_done;
        std::function<void()> m_on_input;
        std::optional<duration> m_piece_timeout;
        connection_id m_connection;
        timer_id m_timer;
        bool m_sent{};
        fetch_answer m_answer;
    };

    void handle_event(fetch_id key, const client_event& event);
    void handle_input(fetch_id key);
    void start_timer(fetch_id key, duration timeout);
    void finish(fetch_id key, const fetch_result& result);
    void copy_head(fetch& target, const response_head& head);

    event_loop& m_loop;
    std::size_t m_body_limit; // bytes
    http_client m_client;
    id_map<fetch_id, fetch> m_fetches;
};

/*! @brief Serializes a request for the wire.
 *  @param request the request
 *  @return head and body; Host is always added, Content-Length unless the
 *  method is GET and the body is empty */
std::string format_request(const fetch_request& request);

} // namespace skylark::io

#endif
