// Mirror: the records under some prefixes as of one revision.
#ifndef SKYLARK_STORE_MIRROR_HPP
#define SKYLARK_STORE_MIRROR_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <skylark/core/time.hpp>

#include "store/record.hpp"

namespace skylark::store {

/*! @brief Follows a store by listings and changes. Pure: answers and time
 *  come in as arguments.
 *
 *  Records that lapsed while the store was away may be written again by their
 *  living owners, so removals that become known shortly after an outage are
 *  held back for a while. */
class mirror {
public:
    using records = std::map<std::string, record, std::less<>>;

    /*! @param held prefix of the keys whose removal is held back
     *  @param hold time after the store's return in which it is */
    mirror(std::string held, duration hold)
        : m_held{std::move(held)}, m_hold{hold} {}

    /*! @brief A call failed: the store is away, or this process from it. */
    void lost() { m_away = true; }

    /*! @brief A call was answered.
     *  @param now the present */
    void reached(time_point now);

    /*! @brief Begins a listing, which replaces all records at its end. */
    void begin_listing();

    /*! @brief Takes one page in. */
    void list(const record_page& page);

    /*! @brief Ends the listing.
     *  @param now the present */
    void end_listing(time_point now);

    /*! @brief Takes changes in.
     *  @param changes in their order
     *  @param now the present */
    void apply(const record_changes& changes, time_point now);

    /*! @brief Carries out removals whose hold has passed. */
    void settle(time_point now);

    /*! @brief When a held removal is due; none for a key that stays. */
    [[nodiscard]] std::optional<time_point>
    removal_due(const std::string& key) const;

    /*! @brief When the next held removal is due; none without one. */
    [[nodiscard]] std::optional<time_point> next_due() const;

    [[nodiscard]] const records& all() const { return m_records; }

    /*! @brief Revision after which changes are wanted; 0 before a listing. */
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

    /*! @brief Revision of the newest change under a key's first segment,
     *  or a later one up to which nothing changed. */
    [[nodiscard]] std::uint64_t changed(std::string_view prefix) const {
        return version(prefix) >> removal_bits;
    }

    /*! @brief Number that also grows with each removal after its hold. */
    [[nodiscard]] std::uint64_t version(std::string_view prefix) const;

private:
    // complete: revision up to which every change is known.
    void take(const record& item, std::uint64_t complete);
    void remove(const std::string& key, std::uint64_t revision, time_point now);
    void touch(std::string_view prefix, std::uint64_t revision);

    // Low bits of a version, which count held removals at one revision.
    static constexpr unsigned removal_bits = 8;

    std::string m_held;
    duration m_hold;
    records m_records;
    records m_listing;                  // of a listing that is under way
    std::uint64_t m_listing_revision{}; // smallest of its pages
    std::uint64_t m_revision{};
    std::map<std::string, time_point, std::less<>> m_removals;    // held back
    std::map<std::string, std::uint64_t, std::less<>> m_versions; // by prefix
    time_point m_hold_until;
    bool m_away{};
};

} // namespace skylark::store

#endif
