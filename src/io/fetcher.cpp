// Buffered HTTP requests, each on its own connection.
#include "io/fetcher.hpp"

#include <utility>

#include "core/overloaded.hpp"
#include "io/event_loop.hpp"

namespace skylark::io {

std::string_view fetch_answer::header_value(std::string_view name) const {
    for (const header& field : m_headers)
        if (same_name(field.m_name, name))
            return field.m_value;
    return {};
}

std::string format_request(const fetch_request& what) {
    std::string out = what.m_method + ' ' + what.m_path + " HTTP/1.1\r\n";
    out += "Host: " + (what.m_host.empty() ? what.m_to.text() : what.m_host) +
           "\r\n";
    for (const header& field : what.m_headers)
        out += field.m_name + ": " + field.m_value + "\r\n";
    if (!what.m_body.empty() || what.m_method != "GET")
        out += "Content-Length: " + std::to_string(what.m_body.size()) + "\r\n";
    return out + "\r\n" + what.m_body;
}

fetcher::fetcher(event_loop& loop, std::size_t body_limit)
    : m_loop{loop}, m_body_limit{body_limit}, m_client{loop, {}} {}

void fetcher::run(const fetch_request& what, callback done) {
    const fetch_id key = m_fetches.emplace();
    fetch& created = *m_fetches.find(key);
    created.m_output = format_request(what);
    created.m_head_only = what.m_method == "HEAD";
    created.m_done = std::move(done);
    created.m_connection = m_client.open(
        what.m_to, [this, key](connection_id, const client_event& event) {
            handle(key, event);
        });
    created.m_timer = m_loop.after(what.m_timeout, [this, key] {
        if (const fetch* found = m_fetches.find(key))
            finish(key, fetch_failure{found->m_sent, "timeout"});
    });
}

void fetcher::take_head(fetch& of, const response_head& head) {
    of.m_answer.m_status = head.m_status;
    for (const header_view& field : head.m_headers)
        of.m_answer.m_headers.push_back(
            {std::string{field.m_name}, std::string{field.m_value}});
}

void fetcher::handle(fetch_id key, const client_event& what) {
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
                   [&](const head_received& event) {
                       take_head(*found, event.m_head);
                   },
                   [&](const body_received& event) {
                       found->m_answer.m_body += event.m_piece;
                       if (found->m_answer.m_body.size() > m_body_limit)
                           finish(key, fetch_failure{true, "answer too large"});
                   },
                   [&](const response_complete&) {
                       finish(key, fetch_answer{std::move(found->m_answer)});
                   },
                   [&](const connection_failed& event) {
                       finish(key, fetch_failure{event.m_bytes_sent,
                                                 std::string{event.m_cause}});
                   }},
        what);
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
