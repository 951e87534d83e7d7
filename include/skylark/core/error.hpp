/*! @file
 *  Error for invalid input: its location, the value and what was expected. */
#ifndef SKYLARK_CORE_ERROR_HPP
#define SKYLARK_CORE_ERROR_HPP

#include <string>

#include <boost/outcome.hpp>

#include <skylark/core/fwd.hpp>

namespace skylark {

/*! @brief Why an input was rejected. */
struct input_error {
    std::string m_place;    //!< file:line, path in a document or column
    std::string m_value;    //!< the offending value as written
    std::string m_expected; //!< what would be accepted

    /*! @brief One-line message with place, value and expectation. */
    [[nodiscard]] std::string text() const {
        return m_place + ": got " + m_value + ", expected " + m_expected;
    }
};

/*! @brief Result of parsing input: a value or an input_error.
 *  @tparam Value type of the parsed value */
template <class Value>
using parsed = BOOST_OUTCOME_V2_NAMESPACE::result<
    Value, input_error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

} // namespace skylark

#endif
