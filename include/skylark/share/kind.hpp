/*! @file
 *  Kinds of limits that are divided into shares. */
#ifndef SKYLARK_SHARE_KIND_HPP
#define SKYLARK_SHARE_KIND_HPP

#include <cstdint>
#include <string_view>

namespace skylark {

/*! @brief Which limit of an upstream a slot belongs to. */
enum class share_kind : std::uint8_t {
    cold, //!< requests that a cold upstream bears
    bulk, //!< slots less the urgent reserve
    probe //!< the one entry that asks the load endpoint
};

inline constexpr std::size_t share_kind_count = 3;

/*! @brief Name of a kind in answers and events. */
constexpr std::string_view name_of(share_kind kind) {
    switch (kind) {
    case share_kind::cold:
        return "cold";
    case share_kind::bulk:
        return "bulk";
    case share_kind::probe:
        break;
    }
    return "probe";
}

} // namespace skylark

#endif
