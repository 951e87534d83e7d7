// Messages about tokens as datagrams beside heartbeats.
#include <gtest/gtest.h>

#include "peer/allowance_codec.hpp"
#include "peer/codec.hpp"

namespace skylark::peer {
namespace {

allowance_message full() {
    allowance_message out;
    out.m_kind = allowance_kind::grant;
    out.m_team = ~std::uint64_t{};
    out.m_from = entry_id{~std::uint64_t{} - 1};
    out.m_sequence = ~std::uint64_t{} - 2;
    out.m_count = 70'000;
    out.m_ahead = 50'000;
    out.m_returned = 40'000;
    out.m_owner_silent = out.m_alone = true;
    out.m_yielded = out.m_vouched = true;
    out.m_owner = entry_id{~std::uint64_t{} - 3};
    out.m_room_in = seconds{3};
    out.m_quiet = milliseconds{500};
    return out;
}

TEST(allowance_codec, keeps_every_field_within_the_size) {
    const auto bytes = encode(full());
    EXPECT_LE(bytes.size(), 100U);
    ASSERT_TRUE(is_allowance(bytes));
    const auto back = decode_allowance(bytes);
    ASSERT_TRUE(back);
    EXPECT_EQ(encode(back.value()), bytes);
    EXPECT_EQ(back.value().m_count, 70'000U);
    EXPECT_EQ(back.value().m_owner, full().m_owner);
    EXPECT_EQ(back.value().m_quiet, full().m_quiet);
}

// An entry of an older version must not take it for a heartbeat.
TEST(allowance_codec, is_no_heartbeat) {
    EXPECT_FALSE(decode(encode(full())));
    heartbeat beat;
    beat.m_sender.m_name = {entry_id{7}, 1};
    EXPECT_FALSE(is_allowance(encode(beat)));
}

TEST(allowance_codec, refuses_what_is_not_valid) {
    allowance_message nobody = full();
    nobody.m_from = {};
    EXPECT_FALSE(decode_allowance(encode(nobody)));
    auto bytes = encode(full());
    bytes.resize(bytes.size() / 2);
    EXPECT_FALSE(decode_allowance(bytes));
    EXPECT_FALSE(is_allowance({}));
}

// A peer's figures must not make an entry lend or hold any number of tokens.
TEST(allowance_codec, bounds_counts_and_delays) {
    allowance_message odd = full();
    odd.m_count = ~0U;
    odd.m_quiet = std::chrono::hours{5};
    const auto back = decode_allowance(encode(odd));
    ASSERT_TRUE(back);
    EXPECT_EQ(back.value().m_count, 100'000U);
    EXPECT_EQ(back.value().m_quiet, seconds{10});
}

} // namespace
} // namespace skylark::peer
