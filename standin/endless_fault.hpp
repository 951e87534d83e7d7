// Which requests of a server get an answer without an end.
#ifndef STANDIN_ENDLESS_FAULT_HPP
#define STANDIN_ENDLESS_FAULT_HPP

#include <cstdint>
#include <optional>

#include <skylark/core/random.hpp>

#include "io/http_status.hpp"
#include "standin/endless_answer.hpp"

namespace standin {

/*! @brief A fault that is switched on and off. Its draws are a sequence of
 *  their own, so that the service times of a seed do not depend on it. */
class endless_fault {
public:
    explicit endless_fault(std::uint64_t seed) : m_random{seed} {}

    /*! @brief Switches it.
     *  @param percent share of requests, 0: off
     *  @param checks whether status checks are among them */
    void set(std::int64_t percent, bool checks) {
        m_percent = percent;
        m_checks = checks;
    }

    /*! @brief Draws for a request, none if it is answered as usual. */
    std::optional<endless_answer> draw(bool check) {
        constexpr std::uint32_t whole = 100;
        if ((check && !m_checks) || m_percent <= 0 ||
            m_random(whole) >= m_percent)
            return std::nullopt;
        const auto forms = endless_forms();
        const auto form = m_random(static_cast<std::uint32_t>(forms.size()));
        const int status = m_random(2) == 0
                               ? skylark::io::status::ok
                               : skylark::io::status::internal_server_error;
        return endless_answer{&forms[form], status, m_random(2) == 0};
    }

private:
    skylark::random_source m_random;
    std::int64_t m_percent{};
    bool m_checks{};
};

} // namespace standin

#endif
