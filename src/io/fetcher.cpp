// Buffered HTTP requests, each on its own connection.
#include "io/fetcher.hpp"

#include <algorithm>
#include <utility>

#include "core/overloaded.hpp"
#include "io/event_loop.hpp"
#include "io/receive_windows.hpp"

namespace skylark::io {

std::string_view fetch_answer::header_value(std::string_view name) const {
    for (const header& field : m_headers)
        if (equal_ignoring_case(field.m_name, name))
            return field.m_value;
    return {};
}

std::string format_request(const fetch_request& request) {
    std::string out = request.m_method + ' ' + request.m_path + " HTTP/1.1\r\n";
    out += "Host: " +
           (request.m_host.empty() ? request.m_to.text() : request.m_host) +
           "\r\n";
    for (const header& field : request.m_headers)
        out += field.m_name + ": " + field.m_value + "\r\n";
    if (!request.m_body.empty() || request.m_method != "GET")
        out +=
            "Content-Length: " + std::to_string(request.m_body.size()) + "\r\n";
    return out + "\r\n" + request.m_body;
}

namespace {
// Large enough for a document to arrive without pauses, and small where only
// short answers are accepted.
http_client::limits limits_for(std::size_t body_limit) {
    constexpr std::size_t least = receive_windows::narrow;
    constexpr std::size_t most = receive_windows::wide;
    http_client::limits out;
    out.m_receive_buffer_bytes =
        static_cast<int>(std::clamp(body_limit, least, most));
    return out;
}
} // namespace

fetcher::fetcher(event_loop& loop, std::size_t body_limit)
    : m_loop{loop}, m_body_limit{body_limit}, m_client{loop,
                                                       limits_for(body_limit)} {
}

fetcher::fetch_id fetcher::run(const fetch_request& request, callback done,
                               std::function<void()> on_input) {
    const fetch_id key = m_fetches.emplace();
    fetch& created = *m_fetches.find(key);
    created.m_output = format_request(request);
    created.m_head_only = request.m_method == "HEAD";
    created.m_done = std::move(done);
    created.m_on_input = std::move(on_input);
    created.m_piece_timeout = request.m_piece_timeout;
    created.m_connection = m_client.open(
        request.m_to, [this, key](connection_id, const client_event& event) {
            handle_event(key, event);
        });
    start_timer(key, request.m_timeout);
    return key;
}

void fetcher::cancel(fetch_id key) {
    const fetch* found = m_fetches.find(key);
    if (!found)
        return;
    m_loop.cancel(found->m_timer);
    m_client.close(found->m_connection);
    m_fetches.erase(key);
}

void fetcher::start_timer(fetch_id key, duration timeout) {
    fetch* found = m_fetches.find(key);
    m_loop.cancel(found->m_timer);
    found->m_timer = m_loop.after(timeout, [this, key] {
        if (const fetch* late = m_fetches.find(key))
            finish(key, fetch_failure{late->m_sent, "timeout"});
    });
}

void fetcher::handle_input(fetch_id key) {
    const fetch* found = m_fetches.find(key);
    if (found->m_piece_timeout)
        start_timer(key, *found->m_piece_timeout);
    if (found->m_on_input)
        found->m_on_input();
}

void fetcher::copy_head(fetch& target, const response_head& head) {
    target.m_answer.m_status = head.m_status;
    for (const header_view& field : head.m_headers)
        target.m_answer.m_headers.push_back(
            {std::string{field.m_name}, std::string{field.m_value}});
}

void fetcher::handle_event(fetch_id key, const client_event& event) {
    fetch* found = m_fetches.find(key);
    if (!found)
        return;
    std::visit(
        overloaded{[&](const connected&) {
                       found->m_sent = true;
                       m_client.send(found->m_connection,
                                     std::move(found->m_output),
                                     found->m_head_only);
                   },
                   [&](const head_received& received) {
                       copy_head(*found, received.m_head);
                       handle_input(key);
                   },
                   [&](const body_received& received) {
                       found->m_answer.m_body += received.m_piece;
                       if (found->m_answer.m_body.size() > m_body_limit)
                           finish(key, fetch_failure{true, "answer too large"});
                       else
                           handle_input(key);
                   },
                   [&](const response_complete& end) {
                       if (end.m_close_delimited) {
                           finish(key, fetch_failure{true, "unframed answer"});
                           return;
                       }
                       finish(key, fetch_answer{std::move(found->m_answer)});
                   },
                   [&](const connection_failed& failure) {
                       finish(key, fetch_failure{failure.m_bytes_sent,
                                                 std::string{failure.m_cause}});
                   }},
        event);
}

void fetcher::finish(fetch_id key, const fetch_result& result) {
    fetch* found = m_fetches.find(key);
    if (!found)
        return;
    const callback done = std::move(found->m_done);
    m_loop.cancel(found->m_timer);
    m_client.close(found->m_connection);
    m_fetches.erase(key);
    done(result);
}

} // namespace skylark::io
