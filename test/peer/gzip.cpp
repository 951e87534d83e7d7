// Documents arrive whole or not at all.
#include "peer/gzip.hpp"

#include <gtest/gtest.h>

using namespace skylark;

namespace {

std::string repeated(std::size_t count) {
    std::string out;
    for (std::size_t i = 0; i < count; ++i)
        out += "route " + std::to_string(i) + " of a document\n";
    return out;
}

} // namespace

TEST(gzip, text_comes_back) {
    for (const std::size_t count : {0U, 1U, 100U, 100'000U}) {
        const std::string text = repeated(count);
        const auto read = peer::gunzip(peer::gzip(text), text.size());
        ASSERT_TRUE(read) << count;
        EXPECT_EQ(read.value(), text);
    }
}

TEST(gzip, cut_damaged_or_longer_bytes_are_refused) {
    const std::string text = repeated(50);
    const std::string packed = peer::gzip(text);
    for (std::size_t size = 0; size < packed.size(); ++size)
        EXPECT_FALSE(peer::gunzip(packed.substr(0, size), text.size())) << size;
    EXPECT_FALSE(peer::gunzip(packed + "x", text.size()));
    std::string damaged = packed;
    damaged[packed.size() / 2] ^= 1;
    EXPECT_FALSE(peer::gunzip(damaged, text.size()));
    EXPECT_FALSE(peer::gunzip("no gzip", text.size()));
}

TEST(gzip, a_text_beyond_the_limit_is_refused) {
    const std::string text = repeated(100'000);
    EXPECT_FALSE(peer::gunzip(peer::gzip(text), text.size() - 1));
}
