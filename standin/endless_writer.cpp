// Writes answers without an end past the HTTP server.
#include "standin/endless_writer.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace standin {

using namespace skylark;

namespace {

constexpr auto turn_period = milliseconds{1};
constexpr std::size_t block_bytes = std::size_t{64} << 10U;
constexpr std::size_t stream_bytes = std::size_t{256} << 10U; // in a turn
constexpr std::size_t turn_bytes = std::size_t{2} << 20U;
// Of an answer in small pieces.
constexpr std::uint32_t largest_piece = 7;
constexpr std::uint32_t longest_pause_ms = 20;

} // namespace

endless_writer::endless_writer(io::event_loop& loop, std::uint64_t seed,
                               end_handler on_end)
    : m_loop{loop}, m_random{seed}, m_on_end{std::move(on_end)} {
    for (const endless_form& form : endless_forms()) {
        std::string block;
        while (block.size() < block_bytes)
            block += form.m_repeated;
        m_blocks.push_back(std::move(block));
    }
}

endless_writer::~endless_writer() {
    for (const stream& item : m_streams)
        close(item.m_descriptor);
}

void endless_writer::begin(exchange_id key, int descriptor, std::string head,
                           const endless_answer& answer) {
    // A body without a length must not look complete if this process ends.
    constexpr linger reset{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    head += answer.m_form->m_begin;
    m_streams.push_back(
        {key, descriptor, std::move(head), answer.m_form, answer.m_slow});
    plan();
}

void endless_writer::drop(exchange_id key) {
    std::erase_if(m_streams, [key](const stream& item) {
        if (item.m_key == key)
            close(item.m_descriptor);
        return item.m_key == key;
    });
}

void endless_writer::plan() {
    if (m_streams.empty() || std::exchange(m_planned, true))
        return;
    m_loop.after(turn_period, [this] {
        m_planned = false;
        write_turn();
        plan();
    });
}

void endless_writer::write_turn() {
    const std::size_t count = m_streams.size();
    if (count == 0)
        return;
    std::size_t left = turn_bytes;
    std::size_t done = 0;
    std::vector<std::pair<exchange_id, std::uint64_t>> ended;
    for (; done < count && left > 0; ++done) {
        stream& item = m_streams[(m_first + done) % count];
        const std::uint64_t before = item.m_sent;
        if (!write_some(item, std::min(left, stream_bytes)))
            ended.emplace_back(item.m_key, item.m_sent);
        left -= item.m_sent - before;
    }
    m_first = (m_first + done) % count;
    for (const auto& [key, bytes] : ended) {
        drop(key);
        m_on_end(key, bytes);
    }
}

bool endless_writer::write_some(stream& item, std::size_t left) {
    if (item.m_sent < item.m_begin.size() &&
        !write_piece(item, std::string_view{item.m_begin}.substr(item.m_sent),
                     left))
        return false;
    if (item.m_sent < item.m_begin.size())
        return true;
    if (item.m_slow) {
        if (io::event_loop::now() < item.m_next)
            return true;
        item.m_next =
            io::event_loop::now() + milliseconds{m_random(longest_pause_ms)};
        left = std::min<std::size_t>(left, 1 + m_random(largest_piece));
    }
    std::size_t before = 0;
    do {
        before = left;
        if (!write_piece(item, block_of(item), left))
            return false;
    } while (left > 0 && left < before);
    return true;
}

// Repetitions begin anew with each block.
std::string_view endless_writer::block_of(const stream& item) const {
    const auto form =
        static_cast<std::size_t>(item.m_form - endless_forms().data());
    const std::string& block = m_blocks[form];
    return std::string_view{block}.substr((item.m_sent - item.m_begin.size()) %
                                          block.size());
}

bool endless_writer::write_piece(stream& item, std::string_view piece,
                                 std::size_t& left) {
    const auto written =
        send(item.m_descriptor, piece.data(), std::min(piece.size(), left),
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written < 0)
        return errno == EAGAIN || errno == EINTR;
    item.m_sent += static_cast<std::uint64_t>(written);
    left -= static_cast<std::size_t>(written);
    return true;
}

} // namespace standin
