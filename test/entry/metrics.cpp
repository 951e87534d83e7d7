// Series of the metrics page.
#include "entry/metrics.hpp"

#include <string>

#include <gtest/gtest.h>

using namespace skylark;

TEST(metrics, broken_off_answers_have_a_bounded_set_of_causes) {
    entry::metrics metrics;
    metrics.broke_off("deadline");
    metrics.broke_off("stalled");
    metrics.broke_off("stalled");
    for (int i = 0; i < 100; ++i)
        metrics.broke_off("cause " + std::to_string(i));
    const std::string page = metrics.page();
    const auto holds = [&page](const std::string& series) {
        return page.find("skylark_broken_off_total{cause=\"" + series) !=
               std::string::npos;
    };
    EXPECT_TRUE(holds("deadline\"} 1\n")) << page;
    EXPECT_TRUE(holds("stalled\"} 2\n")) << page;
    EXPECT_TRUE(holds("unread\"} 0\n")) << page;
    EXPECT_TRUE(holds("other\"} 100\n")) << page;
    EXPECT_FALSE(holds("cause")) << page;
}

TEST(metrics, a_total_that_is_kept_elsewhere_is_not_counted_twice) {
    entry::metrics metrics;
    metrics.count_up_to(entry::counter::iterations, 5);
    metrics.count_up_to(entry::counter::iterations, 5);
    metrics.count_up_to(entry::counter::iterations, 7);
    EXPECT_NE(metrics.page().find("\nskylark_iterations_total 7\n"),
              std::string::npos);
}

// The names of counters and gauges are listed apart from their enumerations.
TEST(metrics, the_last_counter_and_gauge_have_their_names) {
    entry::metrics metrics;
    metrics.count(entry::counter::slow_iterations, 3);
    metrics.set(entry::gauge::unbounded_answers, 3);
    metrics.set(entry::gauge::socket_buffer_bytes, 4);
    const std::string page = metrics.page();
    EXPECT_NE(page.find("\nskylark_slow_iterations_total 3\n"),
              std::string::npos)
        << page;
    EXPECT_NE(page.find("\nskylark_unbounded_answers 3\n"), std::string::npos)
        << page;
    EXPECT_NE(page.find("\nskylark_socket_buffer_bytes 4\n"), std::string::npos)
        << page;
}
