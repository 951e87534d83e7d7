// Records of a key-value store with a store-wide revision counter.
#ifndef SKYLARK_STORE_RECORD_HPP
#define SKYLARK_STORE_RECORD_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <skylark/core/error.hpp>

namespace skylark::store {

/*! @brief One key at one revision. */
struct record {
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision{}; //!< of the key's last change
    bool m_deleted{};
};

/*! @brief One page of a listing. Pages of one listing may have different
 *  revisions. */
struct record_page {
    std::vector<record> m_records;
    bool m_more{};                    //!< further keys follow
    std::uint64_t m_revision{};       //!< of the store when the page was read
    std::vector<input_error> m_odd{}; //!< items that could not be read
};

/*! @brief Changes after a revision, in the order of their revisions. */
struct record_changes {
    std::vector<record> m_records;
    std::uint64_t m_revision{};       //!< request further changes after it
    std::vector<input_error> m_odd{}; //!< items that could not be read
};

/*! @brief The store no longer has the requested changes; a new listing is
 *  needed. */
struct history_lost {};

} // namespace skylark::store

#endif
