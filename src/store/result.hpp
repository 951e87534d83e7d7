// Results of calls to the platform's store.
#ifndef SKYLARK_STORE_RESULT_HPP
#define SKYLARK_STORE_RESULT_HPP

#include <string>
#include <variant>

#include <skylark/discovery/instance.hpp>

#include "store/stored_value.hpp"

namespace skylark::store {

/*! @brief The call failed or returned no usable answer. */
struct store_failure {
    bool m_may_have_run; //!< a write may have taken effect
    std::string m_cause; //!< human-readable
};

/*! @brief The write took effect. */
struct written {};

/*! @brief The value no longer had the expected revision; nothing was written.
 */
struct write_conflict {};

using read_result = std::variant<stored_value, store_failure>;
using list_result = std::variant<instance_list, store_failure>;
using write_result = std::variant<written, write_conflict, store_failure>;

} // namespace skylark::store

#endif
