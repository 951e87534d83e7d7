// A server that may begin pipelined requests early; the test answers them.
#ifndef TEST_IO_EARLY_FIXTURE_HPP
#define TEST_IO_EARLY_FIXTURE_HPP

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "test/io/http_server_fixture.hpp"

namespace skylark::test {

class early_fixture : public http_server_fixture {
protected:
    /*! @brief What is known of one request. */
    struct seen_request {
        exchange_id m_key;
        std::string m_text; // method, path, host, body and all fields
    };

    early_fixture() { set_handlers(true); }

    void set_handlers(bool may_begin_early) {
        io::http_server::handlers callbacks;
        callbacks.m_request = [this](exchange_id key,
                                     const io::request_view& from) {
            m_exchanges.push_back(key);
            m_seen.push_back({key, text_of(from)});
        };
        callbacks.m_ready = [this](exchange_id key) {
            ++m_ready;
            if (m_streams.contains(key))
                stream(key);
        };
        callbacks.m_closed = [this](exchange_id key, bool complete) {
            ++m_closed;
            m_ends[key] = complete;
        };
        if (may_begin_early)
            callbacks.m_may_begin_early = [](const io::request_view& from) {
                return from.m_path.find("unsafe") == std::string_view::npos;
            };
        m_server.set_handlers(std::move(callbacks));
    }

    static std::string text_of(const io::request_view& from) {
        std::string out;
        for (const auto part :
             {from.m_method, from.m_path, from.m_host, from.m_body})
            out.append(part).append("\n");
        for (const io::header_view& field : from.m_headers)
            out.append(field.m_name).append(": ").append(field.m_value) += '\n';
        return out;
    }

    static std::string get(const std::string& path,
                           const std::string& fields = {}) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
    }

    void run_for(duration time) {
        const time_point end = io::event_loop::now() + time;
        while (io::event_loop::now() < end)
            m_loop.run_once(milliseconds{1});
    }

    /*! @brief Answers a request, by its number, with its path as the body. */
    void answer(std::size_t number, const std::string& body) {
        m_server.answer(m_exchanges.at(number), 200, {}, body);
    }

    /*! @brief Sends a long body in pieces, each when the one before it was
     *  taken. */
    void begin_stream(exchange_id key, std::size_t pieces, bool sized) {
        m_streams[key] = pieces;
        m_server.start(key, 200, {},
                       sized ? std::optional<std::uint64_t>{pieces * piece_size}
                             : std::nullopt);
        stream(key);
    }

    void stream(exchange_id key) {
        std::size_t& left = m_streams.at(key);
        if (left == 0)
            return;
        --left;
        ++m_pieces_sent;
        m_server.send(key, std::string(piece_size, letter(left)), left == 0);
    }

    static char letter(std::size_t left) {
        return static_cast<char>('a' + left % 26);
    }

    /*! @brief The body that begin_stream() sends. */
    static std::string stream_body(std::size_t pieces) {
        std::string out;
        for (std::size_t left = pieces; left > 0; --left)
            out.append(piece_size, letter(left - 1));
        return out;
    }

    static std::size_t count(std::string_view all, std::string_view part) {
        std::size_t out = 0;
        for (auto at = all.find(part); at != std::string_view::npos;
             at = all.find(part, at + part.size()))
            ++out;
        return out;
    }

    /*! @brief Runs until a caller has received some text. */
    void run_until_text(raw_caller& caller, const std::string& text) {
        run_until([&] {
            const bool open = caller.read();
            return !open || caller.bytes().find(text) != std::string::npos;
        });
        ASSERT_NE(caller.bytes().find(text), std::string::npos);
    }

    static constexpr std::size_t piece_size = 16 * 1024;
    // Longer than the server takes to notice input of a connection on which a
    // request is in progress.
    static constexpr auto several_looks = milliseconds{100};

    std::vector<seen_request> m_seen;
    std::map<exchange_id, bool> m_ends; // whether the answer was complete
    std::map<exchange_id, std::size_t> m_streams; // pieces left
    std::size_t m_pieces_sent{};
};

} // namespace skylark::test

#endif
