/*! @file
 *  Adoption: selects the document revision that is in force in this entry.
 *
 *  Only higher revisions are adopted. A document that does not parse is refused
 *  and the last valid one stays. Reads no clock: time is an argument. */
#ifndef SKYLARK_CONFIG_ADOPTION_HPP
#define SKYLARK_CONFIG_ADOPTION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <skylark/config/document.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief The offered revision is now in force. */
struct adopted {};

/*! @brief The offered revision was in force already. */
struct unchanged {};

/*! @brief The offered revision is lower than the one in force. */
struct reverted {
    std::uint64_t m_offered;
};

/*! @brief The offered document does not parse or is inconsistent. */
struct refused {
    input_error m_error;
};

using adoption_result = std::variant<adopted, unchanged, reverted, refused>;

/*! @brief Configuration of one entry. */
class config_adoption {
public:
    /*! @brief Offers a revision.
     *  @param revision the store's revision of the text
     *  @param text the document
     *  @return whether it was adopted, and if not, why */
    adoption_result offer(std::uint64_t revision, const std::string& text);

    /*! @brief The store, or a peer's chain to it, confirmed a revision.
     *  @param revision the confirmed one, 0 while there is none; ignored when
     *  it is lower than the revision in force
     *  @param at latest time at which the store can have confirmed it */
    void confirmed(std::uint64_t revision, time_point at);

    /*! @brief Time since the last confirmation; maximum when none. */
    [[nodiscard]] duration age(time_point now) const {
        return m_confirmed ? now - *m_confirmed : duration::max();
    }

    [[nodiscard]] bool ready() const { return m_revision != 0; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    [[nodiscard]] const document& current() const { return m_document; }
    [[nodiscard]] const std::string& text() const { return m_text; }
    //! Highest refused revision; offered again, it is refused again.
    [[nodiscard]] std::uint64_t refused_revision() const { return m_refused; }

private:
    // Invariant: m_revision never decreases; m_document and m_text match it.
    std::uint64_t m_revision{};
    document m_document;
    std::string m_text;
    std::uint64_t m_refused{};
    std::optional<time_point> m_confirmed;
};

} // namespace skylark

#endif
