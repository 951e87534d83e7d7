// Head of an answer that waits for the first bytes of its body.
#ifndef SKYLARK_ENTRY_ANSWER_HEAD_HPP
#define SKYLARK_ENTRY_ANSWER_HEAD_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "io/http_message.hpp"

namespace skylark::entry {

/*! @brief Head of an answer as its caller gets it. */
struct answer_head {
    int m_status{};
    std::vector<io::header> m_headers;     //!< result of answer_headers()
    std::optional<std::uint64_t> m_length; //!< as declared by the upstream
};

} // namespace skylark::entry

#endif
