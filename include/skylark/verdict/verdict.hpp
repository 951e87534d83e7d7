/*! @file
 *  Verdict: whether an attempt's request may have run on its upstream. */
#ifndef SKYLARK_VERDICT_VERDICT_HPP
#define SKYLARK_VERDICT_VERDICT_HPP

#include <cstdint>
#include <string_view>
#include <variant>

#include <skylark/verdict/fwd.hpp>

namespace skylark {

/*! @brief Why it is certain that a request did not run. */
enum class not_run_proof : std::uint8_t {
    not_admitted,    //!< refused before an upstream was chosen
    no_byte_sent,    //!< no byte was given to the kernel
    connect_failed,  //!< the connection was never established
    upstream_refused //!< the upstream said so in its refusal header
};

/*! @brief Last step that an attempt reached after its first byte. */
enum class attempt_step : std::uint8_t {
    request_sent, //!< bytes went out, nothing came back
    answer_begun  //!< the answer's head arrived, its end did not
};

/*! @brief The whole answer reached the entry. */
struct answered {
    bool operator==(const answered&) const = default;
};

/*! @brief The request did not run; it may be sent again. */
struct not_run {
    not_run_proof m_proof;
    bool operator==(const not_run&) const = default;
};

/*! @brief Nobody can tell; only an idempotent request may be sent again. */
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
