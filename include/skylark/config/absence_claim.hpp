/*! @file
 *  Absence claim: whether an entry may state that no rule allows a request.
 *
 *  404 is final for callers, so it is a claim about every configuration that
 *  may be in force. An entry whose configuration may be old does not know. */
#ifndef SKYLARK_CONFIG_ABSENCE_CLAIM_HPP
#define SKYLARK_CONFIG_ABSENCE_CLAIM_HPP

#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief What an entry knows of the configuration that it uses. */
struct absence_grounds {
    duration m_age{duration::max()}; //!< since it was last confirmed
    //! Time within which a change must be in force; none where that is not
    //! promised.
    std::optional<duration> m_apply_limit;
    bool m_newer_announced{}; //!< a peer has a newer one
    bool m_isolated{};        //!< the entry reaches neither store nor majority
};

/*! @brief Whether a request that no rule matches may be told so. */
constexpr bool may_claim_absence(const absence_grounds& known) {
    if (known.m_isolated)
        return false;
    if (!known.m_apply_limit)
        return true;
    return !known.m_newer_announced && known.m_age <= *known.m_apply_limit;
}

} // namespace skylark

#endif
