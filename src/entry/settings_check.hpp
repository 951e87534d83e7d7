// Checks of settings that were read from a file.
#ifndef SKYLARK_ENTRY_SETTINGS_CHECK_HPP
#define SKYLARK_ENTRY_SETTINGS_CHECK_HPP

#include <optional>
#include <string_view>

#include <skylark/core/error.hpp>

#include "entry/settings.hpp"

namespace skylark::entry {

/*! @brief Checks values that depend on each other or have an upper bound.
 *  @param subject settings to check
 *  @param file name for messages
 *  @return the first error */
std::optional<input_error> check_values(const settings& subject,
                                        std::string_view file);

} // namespace skylark::entry

#endif
