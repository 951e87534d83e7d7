// A value from the platform's store and its revision.
#ifndef SKYLARK_STORE_STORED_VALUE_HPP
#define SKYLARK_STORE_STORED_VALUE_HPP

#include <cstdint>
#include <string>

namespace skylark::store {

/*! @brief Value of one key. */
struct stored_value {
    std::uint64_t m_revision{}; //!< 0: the key does not exist
    std::string m_text;
};

} // namespace skylark::store

#endif
