// Log lines stay one line, stay bounded, and never make the process wait.
#include "entry/journal.hpp"

#include <chrono>
#include <string>

#include <gtest/gtest.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "entry/log_sink.hpp"
#include "io/event_loop.hpp"
#include "test/entry/captured_output.hpp"

using namespace skylark;
using entry::log_line;
using test::captured_output;

namespace {

std::size_t count(const std::string& text, std::string_view what) {
    std::size_t out = 0;
    for (auto at = text.find(what); at != std::string::npos;
         at = text.find(what, at + 1))
        ++out;
    return out;
}

} // namespace

TEST(log_line, values_that_would_break_the_format_are_quoted) {
    log_line line{"send"};
    line.add("id", "a\nb=\"c\"").add("empty", "").add("count", 7);
    line.add_ms("took_ms", microseconds{1250});
    EXPECT_EQ(line.text(),
              "send id=\"a?b=\\\"c\\\"\" empty=\"\" count=7 took_ms=1.2");
}

TEST(log_line, bytes_of_others_do_not_reach_a_line) {
    log_line line{"send"};
    line.add("host", "a\xff\xc3\xbc")
        .add("path", "/\xc2\x9b"
                     "31m");
    EXPECT_EQ(line.text(), "send host=a?\xc3\xbc path=/?31m");
}

TEST(journal, events_hold_bounded_lines_of_utf8) {
    entry::journal journal{"journal_foreign", "off"};
    journal.note(event_kind::zone, "z\xff\n", std::string(100'000, '\xfe'));
    const event& kept = journal.ring().events().front();
    EXPECT_EQ(kept.m_subject, "z??");
    EXPECT_LE(kept.m_detail.size(), 500U);
    EXPECT_EQ(kept.m_detail.find('\xfe'), std::string::npos);
}

TEST(log_line, long_values_are_cut) {
    log_line line{"send"};
    line.add("id", std::string(100'000, 'x'));
    EXPECT_LT(line.text().size(), 300U);
}

TEST(journal, unmatched_requests_do_not_displace_other_lines) {
    const captured_output output;
    entry::journal journal{"journal_unmatched", "info"};
    const time_point now = io::event_loop::now();
    for (int i = 0; i < 1000; ++i)
        journal.decided(log_line{"refuse"}, now, entry::line_kind::unmatched);
    journal.decided(log_line{"send"}, now);
    journal.decided(log_line{"cut"}, now, entry::line_kind::cut);
    journal.note(event_kind::drain, "e1", "began");
    const std::string text = output.read();
    EXPECT_LE(count(text, " refuse"), 10U);
    EXPECT_EQ(count(text, " send"), 1U);
    EXPECT_EQ(count(text, " cut"), 1U);
    EXPECT_EQ(count(text, " drain "), 1U);
}

TEST(journal, a_flood_of_decisions_is_bounded_and_counted) {
    const captured_output output;
    entry::journal journal{"flood", "info"};
    const time_point start = io::event_loop::now();
    std::string all;
    constexpr int seconds_played = 10;
    constexpr int each_ms = 5;
    for (int ms = 0; ms < seconds_played * 1000; ++ms) {
        for (int i = 0; i < each_ms; ++i)
            journal.decided(log_line{"send"}, start + milliseconds{ms});
        all += output.read();
    }
    const double bound = defaults::decision_lines_per_s * (seconds_played + 2);
    EXPECT_LE(static_cast<double>(count(all, " send")), bound);
    EXPECT_GE(static_cast<double>(count(all, " send")),
              defaults::decision_lines_per_s * seconds_played / 2);
    EXPECT_GT(count(all, "left_out="), 0U);
}

TEST(journal, a_full_pipe_makes_nobody_wait) {
    std::string all;
    {
        const captured_output output;
        entry::journal journal{"full", "info"};
        time_point now = io::event_loop::now();
        const auto begun = std::chrono::steady_clock::now();
        // Nobody reads: 65 kB fit, the rest is left out.
        for (int i = 0; i < 20'000; ++i) {
            now += milliseconds{10};
            journal.decided(log_line{"send"}.add("id", i), now);
        }
        EXPECT_LT(std::chrono::steady_clock::now() - begun,
                  std::chrono::seconds{5});
        output.read();
        journal.decided(log_line{"send"}.add("id", "late"), now);
        all = output.read();
    }
    EXPECT_NE(all.find("left_out="), std::string::npos) << all;
    EXPECT_NE(all.find("id=late"), std::string::npos) << all;
}
