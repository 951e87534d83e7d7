// A server on a free port whose exchanges a test answers itself.
#ifndef TEST_IO_HTTP_SERVER_FIXTURE_HPP
#define TEST_IO_HTTP_SERVER_FIXTURE_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "io/event_loop.hpp"
#include "io/http_server.hpp"
#include "test/io/raw_caller.hpp"

namespace skylark::test {

class http_server_fixture : public testing::Test {
protected:
    http_server_fixture() {
        m_server.set_handlers(
            {[this](exchange_id key, const io::request_view&) {
                 m_exchanges.push_back(key);
                 if (m_refuse_all)
                     m_server.answer(key, 503, {}, "refused");
             },
             [this](exchange_id) { ++m_ready; },
             [this](exchange_id, bool complete) {
                 ++m_closed;
                 m_complete = complete;
             },
             [this](int status, const io::request_view& request) {
                 m_rejected.push_back({status, std::string{request.m_path}});
             },
             [this](io::discard_cause cause, std::size_t bytes) {
                 m_discarded.push_back({cause, bytes});
             }});
        m_where = m_server.listen({0x7f000001U, 0}).value();
    }

    void run_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 5000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    /*! @brief Runs until the server has closed a caller's connection. */
    void run_until_closed(raw_caller& caller) {
        run_until([&] { return !caller.read(); });
    }

    /*! @brief Runs until a number of requests have been received. */
    void run_until_received(std::size_t count) {
        run_until([&] { return m_exchanges.size() >= count; });
    }

    /*! @brief Part of what a caller received that follows the first head. */
    static std::string_view body_of(const raw_caller& caller) {
        const std::string_view all = caller.bytes();
        const auto end = all.find("\r\n\r\n");
        return end == std::string_view::npos ? "" : all.substr(end + 4);
    }

    static constexpr std::size_t body_limit = 1024;
    static constexpr const char* m_get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    io::event_loop m_loop;
    io::http_server m_server{m_loop, {body_limit, seconds{60}}};
    address m_where;
    std::vector<exchange_id> m_exchanges; // in the order of their requests
    bool m_refuse_all{};
    // Status and path of the requests that the server rejected.
    std::vector<std::pair<int, std::string>> m_rejected;
    // Why connections ended with unanswered input, and how much of it.
    std::vector<std::pair<io::discard_cause, std::size_t>> m_discarded;
    int m_ready{}; // pieces of answers that were written
    int m_closed{};
    bool m_complete{};
};

} // namespace skylark::test

#endif
