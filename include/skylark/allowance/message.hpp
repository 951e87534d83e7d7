/*! @file
 *  Messages about tokens between entries. */
#ifndef SKYLARK_ALLOWANCE_MESSAGE_HPP
#define SKYLARK_ALLOWANCE_MESSAGE_HPP

#include <cstdint>
#include <vector>

#include <skylark/allowance/fwd.hpp>
#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Kind of a message about tokens. */
enum class allowance_kind : std::uint8_t {
    question,      //!< a client asks for tokens
    grant,         //!< the answer, also if it holds no token
    yield_request, //!< a lender asks another one to stop lending
    yield_reply    //!< the answer
};

/*! @brief Message about the tokens of one team. */
struct allowance_message {
    allowance_kind m_kind{};
    std::uint64_t m_team{}; //!< hash of the team's name
    entry_id m_from;
    //! Of the question; repeated in its answer and in its retries.
    std::uint64_t m_sequence{};
    //! Question: requests that wait. Grant: tokens. Yield reply: tokens that
    //! were left in the bucket.
    std::uint32_t m_count{};
    std::uint32_t m_ahead{};    //!< question: tokens wanted beyond m_count
    std::uint32_t m_returned{}; //!< question: unused tokens of this lender
    bool m_owner_silent{};      //!< question: the owner did not answer
    bool m_alone{};             //!< question: the sender uses its own share
    bool m_yielded{};           //!< yield reply: its sender lends no more
    //! Yield reply: its sender lent until now, and knew all members or had it
    //! from one that did.
    bool m_vouched{};
    entry_id m_owner;     //!< grant: entry to ask instead; or none
    duration m_room_in{}; //!< grant: when a caller should return
    duration m_quiet{};   //!< grant: ask no more for this long
};

/*! @brief A message to send; the receiver may be this entry itself. */
struct outgoing_allowance {
    entry_id m_to;
    allowance_message m_message;
};

} // namespace skylark

#endif
