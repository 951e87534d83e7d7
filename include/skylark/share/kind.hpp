/*! @file
 *  Kinds of limits that are divided into shares. */
#ifndef SKYLARK_SHARE_KIND_HPP
#define SKYLARK_SHARE_KIND_HPP

#include <cstdint>
#include <string_view>

namespace skylark {

/*! @brief Limit of an upstream that a slot belongs to. */
enum class share_kind : std::uint8_t {
    cold, //!< concurrent requests to a cold upstream
    bulk, //!< all slots except the urgent reserve
    probe //!< right to poll the load endpoint, held by one entry
};

inline constexpr std::size_t share_kind_count = 3;

/*! @brief Name of a kind in control responses and events. */
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
