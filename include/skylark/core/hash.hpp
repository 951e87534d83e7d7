/*! @file
 *  Rendezvous hashing: each pair of keys has a score, the highest wins. */
#ifndef SKYLARK_CORE_HASH_HPP
#define SKYLARK_CORE_HASH_HPP

#include <array>
#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace skylark {

/*! @brief Hash of a text, the same in every process.
 *  @param text the text
 *  @return 64 bits */
inline std::uint64_t hash(std::string_view text) {
    return XXH64(text.data(), text.size(), 0);
}

/*! @brief Score of a candidate for a key, the same in every process.
 *  @param key what is being placed
 *  @param candidate who may take it
 *  @return 64 bits; the candidate with the highest score owns the key */
inline std::uint64_t rendezvous(std::uint64_t key, std::uint64_t candidate) {
    const std::array<std::uint64_t, 2> both{key, candidate};
    return XXH64(both.data(), sizeof both, 0);
}

} // namespace skylark

#endif
