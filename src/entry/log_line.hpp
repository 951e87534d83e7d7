// One structured log line: a word and key=value pairs.
#ifndef SKYLARK_ENTRY_LOG_LINE_HPP
#define SKYLARK_ENTRY_LOG_LINE_HPP

#include <concepts>
#include <string>
#include <string_view>

#include <skylark/core/time.hpp>

namespace skylark::entry {

/*! @brief Collects the fields of a line. Text that holds blanks or quotes is
 *  quoted; control characters and what is no UTF-8 become '?', so that a line
 *  stays one line. */
class log_line {
public:
    /*! @param what is reported, one word */
    explicit log_line(std::string_view what) : m_text{what} {}

    log_line& add(std::string_view key, std::string_view value);

    template <std::integral Number>
    log_line& add(std::string_view key, Number value) {
        return raw(key, std::to_string(value));
    }

    /*! @brief Adds a time in milliseconds with one digit after the point. */
    log_line& add_ms(std::string_view key, duration value);

    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    log_line& raw(std::string_view key, std::string_view value);

    std::string m_text;
};

} // namespace skylark::entry

#endif
