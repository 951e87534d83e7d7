// Records of a key-value store with one revision counter.
#ifndef SKYLARK_STORE_RECORD_HPP
#define SKYLARK_STORE_RECORD_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace skylark::store {

/*! @brief One key at one revision. */
struct record {
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision{}; //!< of the change that made it so
    bool m_deleted{};
};

/*! @brief One page of a listing. Pages of one listing may differ in age. */
struct record_page {
    std::vector<record> m_records;
    bool m_more{};              //!< further keys follow
    std::uint64_t m_revision{}; //!< of the store when the page was read
};

/*! @brief Changes after a revision, in their order. */
struct record_changes {
    std::vector<record> m_records;
    std::uint64_t m_revision{}; //!< from which to go on
};

/*! @brief The store no longer has the changes that were asked for. */
struct history_lost {};

} // namespace skylark::store

#endif
