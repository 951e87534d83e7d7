// What operators are told when entries end or refuse while a change is made.
#include "ctl/query_command.hpp"

#include <future>
#include <stop_token>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "ctl/client.hpp"
#include "io/event_loop.hpp"
#include "io/http_server.hpp"

using namespace skylark;

namespace {

using addresses = std::vector<address>;

// Two entries on a thread of their own: the first reads requests and breaks
// off, the second has not made the change.
void run_entries(const std::stop_token& stop, std::promise<addresses> bound) {
    io::event_loop loop;
    io::http_server breaking{loop, {}};
    breaking.set_handlers({[&](exchange_id key, const io::request_view&) {
                               breaking.start(key, 200, {}, 5);
                               breaking.abort(key);
                           },
                           {},
                           {}});
    io::http_server refusing{loop, {}};
    refusing.set_handlers({[&](exchange_id key, const io::request_view&) {
                               refusing.answer(
                                   key, 503, {},
                                   R"({"change":"not made","in_force":1})");
                           },
                           {},
                           {}});
    constexpr address local{0x7f000001U, 0};
    bound.set_value(
        {breaking.listen(local).value(), refusing.listen(local).value()});
    while (!stop.stop_requested())
        loop.run_once(milliseconds{1});
}

class query_command_test : public testing::Test {
protected:
    query_command_test() {
        std::promise<addresses> bound;
        auto where = bound.get_future();
        m_thread = std::jthread{run_entries, std::move(bound)};
        m_entries = where.get();
    }

    static ctl::exit_code change(const addresses& known) {
        ctl::client entries{known, seconds{60}};
        return ctl::query_command{entries, {}}.run("drain zone a");
    }

    std::jthread m_thread;
    addresses m_entries;
};

} // namespace

TEST_F(query_command_test, a_refused_change_was_not_made) {
    EXPECT_EQ(change({m_entries[1]}), ctl::exit_code::unreachable);
}

TEST_F(query_command_test, a_refusal_after_a_cut_leaves_the_change_unknown) {
    EXPECT_EQ(change(m_entries), ctl::exit_code::unknown);
}

TEST_F(query_command_test, a_cut_leaves_the_change_unknown) {
    EXPECT_EQ(change({m_entries[0]}), ctl::exit_code::unknown);
}
