// Hop-by-hop headers are not forwarded; the remaining deadline is.
#include "entry/request_head.hpp"

#include <array>

#include <gtest/gtest.h>

using namespace skylark;

TEST(request_head, forwards_end_to_end_headers) {
    const std::array headers{io::header_view{"X-A", "1"},
                             io::header_view{"connection", "close"},
                             io::header_view{"Transfer-Encoding", "chunked"},
                             io::header_view{"request-timeout-ms", "9"}};
    const io::request_view from{"POST", "/b?x=1", "body", headers};
    const entry::dialect wire_dialect;
    const auto bytes =
        entry::complete_head(entry::forward_head(from, wire_dialect),
                             seconds{1}, "u1", wire_dialect);
    EXPECT_EQ(bytes, "POST /b?x=1 HTTP/1.1\r\nHost: upstream\r\nX-A: 1\r\n"
                     "Content-Length: 4\r\nRequest-Timeout-Ms: 1000\r\n\r\n");
}

TEST(request_head, forwarded_deadline_is_at_least_one_ms) {
    const auto bytes =
        entry::complete_head("", microseconds{10}, "", entry::dialect{});
    EXPECT_NE(bytes.find("Request-Timeout-Ms: 1\r\n"), std::string::npos);
}

TEST(request_head, ignores_invalid_deadlines) {
    for (const char* text : {"", "0", "-5", "abc", "5s"}) {
        const std::array headers{io::header_view{"Request-Timeout-Ms", text}};
        EXPECT_FALSE(
            entry::native_dialect{}.caller_deadline({"GET", "/", "", headers}));
    }
}

TEST(request_head, formats_verdicts) {
    EXPECT_EQ(entry::verdict_text(not_run{not_run_proof::no_byte_sent}),
              "not-run");
    EXPECT_EQ(entry::verdict_text(may_have_run{attempt_step::request_sent}),
              "unknown");
}

TEST(request_head, names_the_team_in_place_of_what_the_caller_sent) {
    const std::array headers{io::header_view{"team-key", "secret"},
                             io::header_view{"Team", "other"},
                             io::header_view{"TEAM", "third"}};
    const io::request_view from{"GET", "/", "", headers};
    const entry::dialect wire_dialect;
    EXPECT_EQ(entry::forward_head(from, wire_dialect, {true, "reds"}),
              "GET / HTTP/1.1\r\nHost: upstream\r\nTeam: reds\r\n");
    EXPECT_EQ(entry::forward_head(from, wire_dialect, {true, ""}),
              "GET / HTTP/1.1\r\nHost: upstream\r\n");
}

TEST(request_head, passes_these_fields_on_where_there_are_no_teams) {
    const std::array headers{io::header_view{"Team-Key", "a"},
                             io::header_view{"Team", "b"}};
    EXPECT_EQ(entry::forward_head({"GET", "/", "", headers}, entry::dialect{}),
              "GET / HTTP/1.1\r\nHost: upstream\r\nTeam-Key: a\r\n"
              "Team: b\r\n");
}
