// Digests are those of FIPS 180-4.
#include "io/sha256.hpp"

#include <gtest/gtest.h>

using namespace skylark;

TEST(sha256, matches_the_published_examples) {
    EXPECT_EQ(
        io::sha256_digest("abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(
        io::sha256_digest(""),
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}
