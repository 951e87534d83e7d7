// Addresses round-trip; anything but a complete address is rejected.
#include <skylark/core/address.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(address, round_trip) {
    const auto read = parse_address("127.0.10.255:65535", "here");
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().text(), "127.0.10.255:65535");
}

TEST(address, rejects_malformed_addresses) {
    for (const char* text : {"", "127.0.0.1", "127.0.0:80", "127.0.0.256:80",
                             "127.0.0.1:65536", "127.0.0.1:80x", "a:1"}) {
        const auto read = parse_address(text, "file.toml:7");
        ASSERT_FALSE(read) << text;
        EXPECT_EQ(read.error().m_place, "file.toml:7");
        EXPECT_NE(read.error().text().find(text), std::string::npos);
    }
}
