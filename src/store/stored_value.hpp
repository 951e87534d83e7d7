// A value from the platform's store and its position.
#ifndef SKYLARK_STORE_STORED_VALUE_HPP
#define SKYLARK_STORE_STORED_VALUE_HPP

#include <string>

#include <skylark/core/store_position.hpp>

namespace skylark::store {

/*! @brief Value of one key. */
struct stored_value {
    store_position m_position; //!< revision 0: the key does not exist
    std::string m_text;
};

} // namespace skylark::store

#endif
