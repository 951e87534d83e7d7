// The interface towards callers and upstreams, chosen by the settings.
#ifndef SKYLARK_ENTRY_DIALECT_HPP
#define SKYLARK_ENTRY_DIALECT_HPP

#include <utility>
#include <variant>

#include "entry/native_dialect.hpp"
#include "entry/settings.hpp"
#include "platform/dialect.hpp"

namespace skylark::entry {

/*! @brief One alternative for each interface; native_dialect documents what
 *  all of them provide. */
using dialect = std::variant<native_dialect, platform::dialect>;

/*! @brief The interface that the settings name. */
inline dialect dialect_of(const settings& from) {
    if (from.m_deployment == deployment::platform)
        return platform::dialect{};
    return native_dialect{};
}

} // namespace skylark::entry

#endif
