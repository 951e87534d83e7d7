// Forms of answers without an end.
#ifndef STANDIN_ENDLESS_FORM_HPP
#define STANDIN_ENDLESS_FORM_HPP

#include <span>
#include <string_view>

namespace standin {

/*! @brief The bytes of one form. */
struct endless_form {
    std::string_view m_name;
    std::string_view m_begin;    //!< behind the fields that all answers have
    std::string_view m_repeated; //!< sent from then on
};

/*! @brief All forms: some are invalid HTTP, others never complete. */
std::span<const endless_form> endless_forms();

} // namespace standin

#endif
