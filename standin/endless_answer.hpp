// One answer without an end.
#ifndef STANDIN_ENDLESS_ANSWER_HPP
#define STANDIN_ENDLESS_ANSWER_HPP

#include <string>

#include "standin/endless_form.hpp"

namespace standin {

/*! @brief What is drawn for one answer. */
struct endless_answer {
    const endless_form* m_form;
    int m_status;
    bool m_slow; //!< a few bytes at a time; else as fast as they are taken

    /*! @brief Fields of its line in the ledger. */
    [[nodiscard]] std::string text() const {
        return "form=" + std::string{m_form->m_name} +
               " status=" + std::to_string(m_status) +
               " slow=" + std::to_string(static_cast<int>(m_slow));
    }
};

} // namespace standin

#endif
