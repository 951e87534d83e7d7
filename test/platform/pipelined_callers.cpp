// Callers that send requests behind others on a connection, at a whole entry.
#include <algorithm>
#include <memory>
#include <vector>

#include "test/io/raw_caller.hpp"
#include "test/platform/interfaces.hpp"

using namespace skylark;
using namespace skylark::test;

namespace {

class pipelined_callers
    : public whole_entry,
      public testing::WithParamInterface<entry::deployment> {
protected:
    pipelined_callers() : whole_entry{GetParam()} {}

    void serve(std::size_t upstream, const scripted_request& got) override {
        m_order.push_back(got.m_path);
        m_served.push_back({upstream, got});
        if (m_serve)
            m_serve(upstream, got);
        else
            answer_in(m_delay, upstream, got, got.m_path);
    }

    void answer_in(duration delay, std::size_t upstream,
                   const scripted_request& got, const std::string& body) {
        m_upstreams[upstream].say_later(
            delay, got.m_connection,
            success(got) + "Content-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
    }

    std::string request(const std::string& method, const std::string& path) {
        return method + ' ' + path +
               " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: p" +
               std::to_string(++m_asked) + "\r\n" +
               (method == "POST" ? "Content-Length: 2\r\n\r\nab" : "\r\n");
    }

    static std::size_t count(const std::string& all, std::string_view part) {
        std::size_t out = 0;
        for (auto at = all.find(part); at != std::string::npos;
             at = all.find(part, at + part.size()))
            ++out;
        return out;
    }

    // Turns until a caller has a number of final answers.
    void turn_until_answered(raw_caller& caller, std::size_t number) {
        turn_until([&] {
            return !caller.read() ||
                   count(caller.bytes(), "HTTP/1.1 ") >= number;
        });
        ASSERT_EQ(count(caller.bytes(), "HTTP/1.1 "), number);
    }

    // Sends all requests until each has reached an upstream. A process that
    // gets no processor time refuses, see send_until().
    std::unique_ptr<raw_caller>
    ask_until_served(const std::vector<std::string>& paths) {
        constexpr int most_tries = 10;
        for (int i = 0; i < most_tries; ++i) {
            m_served.clear();
            m_order.clear();
            auto caller = std::make_unique<raw_caller>(m_settings.m_callers);
            std::string all;
            for (const std::string& path : paths)
                all += request("GET", path);
            caller->write(all);
            const time_point limit = io::event_loop::now() + milliseconds{200};
            turn_until([&] {
                return m_served.size() == paths.size() ||
                       io::event_loop::now() > limit;
            });
            if (m_served.size() == paths.size())
                return caller;
        }
        ADD_FAILURE() << "not all requests have reached an upstream";
        return nullptr;
    }

    struct served_request {
        std::size_t m_upstream;
        scripted_request m_request;
    };

    const served_request& served(const std::string& path) const {
        return *std::find_if(m_served.begin(), m_served.end(),
                             [&](const served_request& item) {
                                 return item.m_request.m_path == path;
                             });
    }

    duration m_delay{};
    std::function<void(std::size_t, const scripted_request&)> m_serve;
    std::vector<served_request> m_served;
    std::vector<std::string> m_order; // paths, as they reached upstreams
    int m_asked{};
};

} // namespace

// Guards against requests of one connection that are served one after another.
TEST_P(pipelined_callers, get_six_slow_answers_in_far_less_than_their_sum) {
    constexpr int number = 6;
    constexpr auto each = milliseconds{300};
    start(3);
    m_delay = each;
    // A refusal, as of a process that gets no processor time, spoils a try.
    constexpr int most_tries = 5;
    for (int i = 0; i < most_tries; ++i) {
        raw_caller caller{m_settings.m_callers};
        std::string all;
        std::string paths;
        for (int k = 0; k < number; ++k)
            all += request("GET", "/a/" + std::to_string(k));
        const time_point began = io::event_loop::now();
        caller.write(all);
        turn_until_answered(caller, number);
        turn_until([&] {
            caller.read();
            return !caller.bytes().ends_with("\r\n\r\n");
        });
        if (count(caller.bytes(), "HTTP/1.1 200 ") < number)
            continue;
        EXPECT_LT(io::event_loop::now() - began, number * each / 2);
        std::size_t before = 0;
        for (int k = 0; k < number; ++k) {
            const auto place =
                caller.bytes().find("\r\n\r\n/a/" + std::to_string(k), before);
            ASSERT_NE(place, std::string::npos) << caller.bytes();
            before = place;
        }
        return;
    }
    FAIL() << "each try was spoilt by a refusal";
}

// Guards against a write that runs before the reads in front of it have ended,
// and reads that begin before the write in front of them has.
TEST_P(pipelined_callers, have_their_writes_run_alone) {
    start(2);
    m_serve = [this](std::size_t upstream, const scripted_request& got) {
        answer_in(milliseconds{50}, upstream, got, got.m_path);
    };
    raw_caller caller{m_settings.m_callers};
    caller.write(request("GET", "/a/0") + request("GET", "/a/1") +
                 request("POST", "/b/2") + request("GET", "/a/3") +
                 request("GET", "/b/4") + request("GET", "/a/5"));
    turn_until_answered(caller, 6);
    const auto place = [this](const std::string& path) {
        return std::find(m_order.begin(), m_order.end(), path) -
               m_order.begin();
    };
    // What was refused has reached no upstream, and its place is the end.
    for (const std::string write : {"/b/2", "/b/4"}) {
        if (place(write) == static_cast<std::ptrdiff_t>(m_order.size()))
            continue;
        for (const std::string path : {"/a/0", "/a/1", "/a/3", "/a/5"}) {
            const bool behind = path > "/a/" + write.substr(3);
            if (place(path) == static_cast<std::ptrdiff_t>(m_order.size()))
                continue;
            EXPECT_EQ(place(path) > place(write), behind)
                << path << ' ' << write;
        }
    }
}

// Guards against an answer that is broken off although only those before it
// keep it waiting.
TEST_P(pipelined_callers, get_a_long_answer_behind_one_that_outlasts_it) {
    constexpr std::size_t piece = 50'000;
    constexpr std::size_t pieces = 8;
    start(3);
    m_serve = [](std::size_t, const scripted_request&) {};
    const auto caller = ask_until_served({"/a/slow", "/a/long"});
    ASSERT_TRUE(caller);
    const served_request& slow = served("/a/slow");
    const served_request& large = served("/a/long");
    const auto say_slow = [&](duration delay, const std::string& text) {
        m_upstreams[slow.m_upstream].say_later(
            delay, slow.m_request.m_connection, text);
    };
    // The deadline of both is a second.
    say_slow(milliseconds{700},
             success(slow.m_request) + "Content-Length: 4\r\n\r\na");
    say_slow(milliseconds{900}, "b");
    say_slow(milliseconds{1200}, "c");
    say_slow(milliseconds{1700}, "d");
    m_upstreams[large.m_upstream].say(large.m_request.m_connection,
                                      success(large.m_request) +
                                          "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t i = 0; i < pieces; ++i)
        m_upstreams[large.m_upstream].say_later(
            i * milliseconds{20}, large.m_request.m_connection,
            "c350\r\n" + std::string(piece, 'x') + "\r\n" +
                (i + 1 == pieces ? "0\r\n\r\n" : ""));
    turn_until([&] {
        return !caller->read() || caller->bytes().ends_with("\r\n0\r\n\r\n");
    });
    EXPECT_NE(caller->bytes().find("\r\n\r\nabcd"), std::string::npos);
    const auto body = caller->bytes().find("xxxxx");
    ASSERT_NE(body, std::string::npos);
    EXPECT_EQ(
        std::count(caller->bytes().begin() + static_cast<std::ptrdiff_t>(body),
                   caller->bytes().end(), 'x'),
        static_cast<std::ptrdiff_t>(piece * pieces));
    EXPECT_TRUE(caller->bytes().ends_with("\r\n0\r\n\r\n"));
}

TEST_P(pipelined_callers, that_leave_end_the_work_on_all_their_requests) {
    start(3);
    // A stop before the start may count until then.
    const time_point settled = io::event_loop::now() + milliseconds{3100};
    turn_until([&] { return io::event_loop::now() >= settled; });
    m_serve = [](std::size_t, const scripted_request&) {};
    auto caller = ask_until_served({"/a/0", "/a/1", "/a/2"});
    ASSERT_TRUE(caller);
    caller->reset_at_end();
    caller.reset();
    turn_until([&] {
        return std::all_of(m_served.begin(), m_served.end(),
                           [this](const served_request& item) {
                               return m_upstreams[item.m_upstream].has_ended(
                                   item.m_request.m_connection);
                           });
    });
}

TEST_P(pipelined_callers, get_all_answers_from_a_leaving_entry) {
    start(3);
    m_serve = [](std::size_t, const scripted_request&) {};
    const auto caller = ask_until_served({"/a/0", "/a/1", "/a/2"});
    ASSERT_TRUE(caller);
    m_node->drain(io::event_loop::now());
    for (const served_request& item : m_served)
        answer_in(milliseconds{100}, item.m_upstream, item.m_request,
                  item.m_request.m_path);
    turn_until([&] { return !caller->read(); });
    EXPECT_EQ(caller->error(), 0);
    EXPECT_EQ(count(caller->bytes(), "HTTP/1.1 200 "), 3U);
    EXPECT_EQ(count(caller->bytes(), "Connection: close"), 1U);
    EXPECT_TRUE(caller->bytes().ends_with("/a/2"));
}

INSTANTIATE_TEST_SUITE_P(entry, pipelined_callers,
                         testing::Values(entry::deployment::native,
                                         entry::deployment::platform),
                         [](const auto& tested) {
                             return name_of(tested.param);
                         });
