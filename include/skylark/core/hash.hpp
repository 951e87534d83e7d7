/*! @file
 *  Hash of a text, and rendezvous hashing: each pair of key and candidate has
 *  a score, and the candidate with the highest score owns the key. */
#ifndef SKYLARK_CORE_HASH_HPP
#define SKYLARK_CORE_HASH_HPP

#include <array>
#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace skylark {

/*! @brief 64-bit hash of a text; identical in every process. */
inline std::uint64_t hash(std::string_view text) {
    return XXH64(text.data(), text.size(), 0);
}

/*! @brief Rendezvous score of a candidate for a key; identical in every process
 *  of the same byte order.
 *  @param key hash of the item to place
 *  @param candidate id of a possible owner
 *  @return 64-bit score; the candidate with the highest one owns the key */
inline std::uint64_t rendezvous(std::uint64_t key, std::uint64_t candidate) {
    const std::array<std::uint64_t, 2> both{key, candidate};
    return XXH64(both.data(), sizeof both, 0);
}

} // namespace skylark

#endif
