// Mirror: local copy of the store's records as of one revision of one era.
#ifndef SKYLARK_STORE_MIRROR_HPP
#define SKYLARK_STORE_MIRROR_HPP

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <skylark/core/store_position.hpp>
#include <skylark/core/time.hpp>
#include <skylark/discovery/lapse_window.hpp>

#include "store/record.hpp"

namespace skylark::store {

/*! @brief Copy of a store's records, built from listings and changes. Does no
 *  I/O and reads no clock: answers and time are arguments.
 *
 *  Leases that lapse in an outage of the store remove the records of owners
 *  that are still alive and will write them again. Removals that become known
 *  shortly after an outage are therefore delayed, see lapse_window. */
class mirror {
public:
    using records = std::map<std::string, record, std::less<>>;

    /*! @param delayed_prefix prefix of the keys whose removal is delayed
     *  @param timing of the delay */
    mirror(std::string delayed_prefix, const lapse_timing& timing)
        : m_delayed_prefix{std::move(delayed_prefix)}, m_lapses{timing} {}

    /*! @brief A call failed. */
    void call_failed() { m_lapses.call_failed(); }

    /*! @brief The store answered a call.
     *  @param now current time */
    void call_succeeded(time_point now) { m_lapses.call_succeeded(now); }

    /*! @brief The store answered another entry.
     *  @param at latest time at which it can have done so */
    void confirmed(time_point at) { m_lapses.confirmed(at); }

    /*! @brief The store was restored from a copy: forgets all records, whose
     *  revisions may be given out again. A listing follows.
     *  @param era later than the present one */
    void begin_era(std::uint64_t era);

    /*! @brief Era of the records. */
    [[nodiscard]] std::uint64_t era() const { return m_era; }

    /*! @brief Starts a listing; end_listing() replaces all records by it. */
    void begin_listing();

    /*! @brief Adds one page to the listing. */
    void add_page(const record_page& page);

    /*! @brief Ends the listing and replaces all records by it.
     *  @param now current time */
    void end_listing(time_point now);

    /*! @brief Applies changes.
     *  @param changes changes in the order of their revisions
     *  @param now current time */
    void apply(const record_changes& changes, time_point now);

    /*! @brief Carries out the delayed removals that are due.
     *  @param now current time */
    void apply_due_removals(time_point now);

    /*! @brief When the delayed removal of a key is due; none if no removal is
     *  pending. */
    [[nodiscard]] std::optional<time_point>
    removal_due(const std::string& key) const;

    /*! @brief When the next delayed removal is due; none if none is pending. */
    [[nodiscard]] std::optional<time_point> next_removal_due() const;

    [[nodiscard]] const records& all() const { return m_records; }

    /*! @brief Revision after which to request changes; 0 before the first
     *  listing. */
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

    /*! @brief Position of the newest change under a prefix, or a later position
     *  up to which nothing changed.
     *  @param prefix first segment of a key, with its slash */
    [[nodiscard]] store_position last_changed(std::string_view prefix) const {
        return {shifted_revision(prefix) >> removal_bits, m_era};
    }

    /*! @brief Version of the records under some prefixes. Unlike the revision,
     *  it also grows with each delayed removal: until all are in force it stays
     *  below that of a mirror which delays none, whose records are later.
     *  @param prefixes first segments of keys, with their slashes */
    [[nodiscard]] store_position
    version(std::initializer_list<std::string_view> prefixes) const;

private:
    // known_up_to: revision up to which all changes are known.
    void update(const record& item, std::uint64_t known_up_to);
    void remove(const std::string& key, std::uint64_t revision, time_point now);
    void raise_version(std::string_view prefix, std::uint64_t revision);
    [[nodiscard]] std::uint64_t shifted_revision(std::string_view prefix) const;

    // Low bits of a version: for the number of pending removals.
    static constexpr unsigned removal_bits = 8;

    std::string m_delayed_prefix;
    lapse_window m_lapses;
    records m_records;
    records m_listing;                  // of the listing in progress
    std::uint64_t m_listing_revision{}; // oldest of its pages
    std::uint64_t m_era{};
    // Invariant: this and all revisions below are of m_era.
    std::uint64_t m_revision{};
    // Due times by key.
    std::map<std::string, time_point, std::less<>> m_pending_removals;
    // Revision of the newest change, shifted by removal_bits, by prefix.
    std::map<std::string, std::uint64_t, std::less<>> m_versions;
};

} // namespace skylark::store

#endif
