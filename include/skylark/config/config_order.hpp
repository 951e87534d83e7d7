/*! @file
 *  Order of the configurations of one deployment. */
#ifndef SKYLARK_CONFIG_CONFIG_ORDER_HPP
#define SKYLARK_CONFIG_CONFIG_ORDER_HPP

#include <compare>
#include <cstdint>

#include <skylark/core/store_position.hpp>

namespace skylark {

/*! @brief Orders configurations by what their writer says, then by the store's
 *  position. A store that was restored from a copy has an older configuration
 *  at a later position. */
struct config_order {
    std::uint64_t m_version{}; //!< the operators' number; 0: they give none
    store_position m_position;

    auto operator<=>(const config_order&) const = default;
};

} // namespace skylark

#endif
