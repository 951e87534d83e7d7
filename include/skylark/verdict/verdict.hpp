/*! @file
 *  Verdict: whether the request of an attempt may have run on its upstream. */
#ifndef SKYLARK_VERDICT_VERDICT_HPP
#define SKYLARK_VERDICT_VERDICT_HPP

#include <cstdint>
#include <string_view>
#include <variant>

#include <skylark/verdict/fwd.hpp>

namespace skylark {

/*! @brief Evidence that a request did not run. */
enum class not_run_proof : std::uint8_t {
    not_admitted,    //!< rejected before an upstream was chosen
    no_byte_sent,    //!< no byte was passed to the kernel
    connect_failed,  //!< the connection was never established
    upstream_refused //!< the upstream stated it in its refusal header
};

/*! @brief Last step that an attempt reached after its first byte was sent. */
enum class attempt_step : std::uint8_t {
    request_sent,    //!< bytes were sent, none were received
    response_started //!< the response head arrived, but not its end
};

/*! @brief The complete response reached the entry. */
struct answered {
    bool operator==(const answered&) const = default;
};

/*! @brief The request did not run; it may safely be sent again. */
struct not_run {
    not_run_proof m_proof;
    bool operator==(const not_run&) const = default;
};

/*! @brief It is unknown whether the request ran; only an idempotent request may
 *  be sent again. */
struct may_have_run {
    attempt_step m_step;
    bool operator==(const may_have_run&) const = default;
};

using verdict = std::variant<answered, not_run, may_have_run>;

/*! @brief Name of a proof in logs and events. */
constexpr std::string_view name_of(not_run_proof proof) {
    switch (proof) {
    case not_run_proof::not_admitted:
        return "not-admitted";
    case not_run_proof::no_byte_sent:
        return "no-byte-sent";
    case not_run_proof::connect_failed:
        return "connect-failed";
    case not_run_proof::upstream_refused:
        break;
    }
    return "upstream-refused";
}

} // namespace skylark

#endif
