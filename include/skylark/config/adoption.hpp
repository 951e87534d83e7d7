/*! @file
 *  Adoption: selects the document that is in force in this entry.
 *
 *  Only later documents are adopted, see config_order. A document that does not
 *  parse is refused and the last valid one stays. Reads no clock: time is an
 *  argument. */
#ifndef SKYLARK_CONFIG_ADOPTION_HPP
#define SKYLARK_CONFIG_ADOPTION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <skylark/config/config_order.hpp>
#include <skylark/config/document.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief The offered document is now in force. */
struct adopted {};

/*! @brief The offered document was in force already. */
struct unchanged {};

/*! @brief The offered document is older than the one in force. */
struct reverted {
    store_position m_offered;
    bool m_zones_changed{}; //!< it drains zones, which is in force all the same
};

/*! @brief The offered document does not parse or is inconsistent. */
struct refused {
    input_error m_error;
};

using adoption_result = std::variant<adopted, unchanged, reverted, refused>;

/*! @brief Configuration of one entry.
 *
 *  A zone that was drained before the store was restored stays drained until
 *  the operators have had time to drain it again: that its key is missing from
 *  the copy proves nothing. Zones that are drained in the later era are so
 *  although the copy's configuration is older than the one in force. */
class config_adoption {
public:
    /*! @brief Offers a document.
     *  @param position the store's position of the text
     *  @param text the document
     *  @param now current time
     *  @return whether it was adopted, and if not, why */
    adoption_result offer(const store_position& position,
                          const std::string& text, time_point now);

    /*! @brief The store, or a peer's chain to it, confirmed a document.
     *  @param which the confirmed one, position 0 while there is none; ignored
     *  unless it is the one in force, or the same version in a store that was
     *  restored. A newer one shows that the one in force is outdated.
     *  @param at latest time at which the store can have confirmed it */
    void confirmed(const config_order& which, time_point at);

    /*! @brief Ends the retention of zones that were drained before the store
     *  was restored, when it is due.
     *  @param now current time
     *  @return whether the document in force changed */
    bool end_retention(time_point now);

    /*! @brief When end_retention() is due; none if no zone is retained. */
    [[nodiscard]] std::optional<time_point> retention_end() const {
        return m_retained.empty() ? std::nullopt
                                  : std::optional{m_retention_end};
    }

    /*! @brief Time since the last confirmation; maximum when none. */
    [[nodiscard]] duration age(time_point now) const {
        return m_confirmed ? now - *m_confirmed : duration::max();
    }

    [[nodiscard]] bool ready() const { return position().known(); }
    [[nodiscard]] const config_order& order() const { return m_order; }
    [[nodiscard]] const store_position& position() const {
        return m_order.m_position;
    }
    [[nodiscard]] const document& current() const { return m_document; }
    //! As it was offered, without zones that are drained besides.
    [[nodiscard]] const std::string& text() const { return m_text; }
    //! Highest refused position; offered again, it is refused again.
    [[nodiscard]] const store_position& refused_position() const {
        return m_refused;
    }
    //! Latest position of a document that was older than the one in force.
    [[nodiscard]] const store_position& reverted_position() const {
        return m_reverted;
    }

private:
    adoption_result revert(const document& offered,
                           const store_position& position);
    void update_document();

    // Invariant: m_order never decreases; m_offered and m_text match it.
    config_order m_order;
    document m_offered;
    document m_document; // m_offered with the zones below drained
    std::string m_text;
    store_position m_refused;
    store_position m_reverted;
    std::vector<std::string> m_retained; // names of zones drained before
    time_point m_retention_end;
    // Names of the zones that the document at m_reverted drains.
    std::vector<std::string> m_drained_since;
    std::optional<time_point> m_confirmed;
};

} // namespace skylark

#endif
