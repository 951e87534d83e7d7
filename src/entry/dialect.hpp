/*! @file
 *  HTTP interface to callers and upstreams, selected by the settings. */
#ifndef SKYLARK_ENTRY_DIALECT_HPP
#define SKYLARK_ENTRY_DIALECT_HPP

#include <utility>
#include <variant>

#include "entry/native_dialect.hpp"
#include "entry/settings.hpp"
#include "platform/dialect.hpp"

namespace skylark::entry {

/*! @brief One alternative per interface, all with the same members; see
 *  native_dialect for their documentation. */
using dialect = std::variant<native_dialect, platform::dialect>;

/*! @brief Interface of the deployment in the settings. */
inline dialect dialect_of(const settings& from) {
    if (from.m_deployment == deployment::platform)
        return platform::dialect{};
    return native_dialect{};
}

} // namespace skylark::entry

#endif
