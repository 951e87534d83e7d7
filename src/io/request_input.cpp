// Input of a connection behind the request that is in progress on it.
#include "io/request_input.hpp"

#include <string_view>

#include "io/socket_queue.hpp"

namespace skylark::io::internal {

namespace {

// Length of a head, up to and with the empty line that ends it. The parser
// takes a line feed alone for the end of a line, too.
std::size_t head_length(std::string_view input) {
    bool seen = false; // an empty line before the request is not its end
    std::size_t begin = 0;
    for (std::size_t end = input.find('\n'); end != std::string_view::npos;
         end = input.find('\n', begin)) {
        const std::string_view line = input.substr(begin, end - begin);
        const bool is_empty = line.empty() || line == "\r";
        begin = end + 1;
        if (is_empty && seen)
            return begin;
        seen |= !is_empty;
    }
    return input.size();
}

} // namespace

std::string_view buffered_behind(const h2o_req_t& request) {
    h2o_socket_t* socket = request.conn->callbacks->get_socket(request.conn);
    const std::string_view input{socket->input->bytes, socket->input->size};
    // A body lies in the input, decoded in place if it came in chunks.
    const std::size_t length =
        request.entity.base
            ? static_cast<std::size_t>(request.entity.base - input.data()) +
                  request.entity.len
            : head_length(input);
    return input.substr(length);
}

std::size_t input_behind(const h2o_req_t& request) {
    h2o_socket_t* socket = request.conn->callbacks->get_socket(request.conn);
    return buffered_behind(request).size() +
           static_cast<std::size_t>(unread_bytes(h2o_socket_get_fd(socket)));
}

} // namespace skylark::io::internal
