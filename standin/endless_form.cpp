// Forms of answers without an end.
#include "standin/endless_form.hpp"

#include <array>

namespace standin {

namespace {

constexpr std::array forms{
    endless_form{"header_line", "Detail: ", "v"},
    endless_form{"junk_size", "Transfer-Encoding: chunked\r\n\r\n", "junk "},
    endless_form{"size_digits", "Transfer-Encoding: chunked\r\n\r\n", "0"},
    endless_form{"one_chunk",
                 "Transfer-Encoding: chunked\r\n\r\n7fffffffffff\r\n", "x"},
    endless_form{"byte_chunks", "Transfer-Encoding: chunked\r\n\r\n",
                 "1\r\nx\r\n"},
    endless_form{"length", "Content-Length: 1000000000000\r\n\r\n", "x"},
    endless_form{"no_length", "\r\n", "x"},
    endless_form{"event_pieces_chunked",
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n",
                 "3\r\nabc\r\n"},
    endless_form{"event_pieces",
                 "Content-Type: text/event-stream\r\n\r\ndata: ", "abc"},
    endless_form{"events_chunked",
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 "9\r\ndata: x\n\n\r\n"},
    endless_form{"events", "Content-Type: text/event-stream\r\n\r\n",
                 "data: x\n\n"}};

} // namespace

std::span<const endless_form> endless_forms() {
    return forms;
}

} // namespace standin
