// Answers that the HTTP server passes to h2o.
#include <string>
#include <sys/socket.h>
#include <utility>

#include "io/http_server_native.hpp"
#include "io/request_input.hpp"
#include "io/socket_queue.hpp"

namespace skylark::io {

using internal::exchange;

namespace {
// Bytes that a caller receives at once, before it can send another request.
constexpr std::size_t short_answer = std::size_t{16} << 10U;
// Time for which the kernel keeps the sent part of an answer that is broken
// off.
constexpr duration broken_output_time = seconds{2};
} // namespace

void http_server::native::start(exchange& item, int status,
                                std::span<const header> headers,
                                std::optional<std::uint64_t> length) {
    h2o_req_t* request = item.m_request;
    request->res.status = status;
    request->res.reason = "-";
    request->res.content_length = length.value_or(SIZE_MAX);
    for (const header& field : headers) {
        const auto name = h2o_strdup(&request->pool, field.m_name.data(),
                                     field.m_name.size());
        const auto value = h2o_strdup(&request->pool, field.m_value.data(),
                                      field.m_value.size());
        h2o_add_header_by_str(&request->pool, &request->res.headers, name.base,
                              name.len, 1, nullptr, value.base, value.len);
    }
    item.m_started = true;
    h2o_start_response(request, &item.m_generator->m_super);
}

void http_server::native::write(exchange& item, std::string piece, bool last) {
    // A caller that is told that its connection closes takes what it has sent
    // behind the request for lost.
    if ((m_closing || m_accept_paused) && last && !item.m_head_sent &&
        piece.size() <= short_answer &&
        internal::input_behind(*item.m_request) == 0)
        item.m_request->http1_is_persistent = 0;
    item.m_head_sent = true;
    item.m_piece = std::move(piece);
    item.m_complete = last;
    item.m_send_pending = true;
    auto buffer = h2o_iovec_init(item.m_piece.data(), item.m_piece.size());
    h2o_send(item.m_request, &buffer, buffer.len == 0 ? 0 : 1,
             last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void http_server::native::break_off(exchange& item) {
    // On an error h2o would write an invalid chunk size; shutting the socket
    // down first keeps it off the wire. While a send is pending h2o must not
    // be called; on_proceed() tells it afterwards.
    const bool send_pending = item.m_send_pending;
    auto& connection = *static_cast<internal::accepted_connection*>(
        socket_of(item.m_request)->on_close.data);
    if (std::exchange(connection.m_broken_off, true))
        return;
    end_early(connection, 0);
    // h2o would otherwise go on with the next request of the connection.
    item.m_request->http1_is_persistent = 0;
    if (send_pending || !item.m_complete) {
        internal::limit_unacknowledged_time(item.m_socket, broken_output_time);
        shutdown(item.m_socket, SHUT_RDWR);
    }
    if (!send_pending && !item.m_complete)
        h2o_send(item.m_request, nullptr, 0, H2O_SEND_STATE_ERROR);
}

} // namespace skylark::io
