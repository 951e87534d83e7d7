/*! @file
 *  Error of bad input: names the place, the value and what was expected. */
#ifndef SKYLARK_CORE_ERROR_HPP
#define SKYLARK_CORE_ERROR_HPP

#include <string>

#include <boost/outcome.hpp>

#include <skylark/core/fwd.hpp>

namespace skylark {

/*! @brief Why an input was refused. */
struct input_error {
    std::string m_place;    //!< where: file:line, path in a document, column
    std::string m_value;    //!< the offending value as it was written
    std::string m_expected; //!< what would have been accepted

    /*! @brief One line for people.
     *  @return place, value and expectation */
    [[nodiscard]] std::string text() const {
        return m_place + ": got " + m_value + ", expected " + m_expected;
    }
};

/*! @brief Result of reading input.
 *  @tparam Value what a correct input gives */
template <class Value>
using parsed = BOOST_OUTCOME_V2_NAMESPACE::result<
    Value, input_error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

} // namespace skylark

#endif
