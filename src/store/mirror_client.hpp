// Client of a key-value store with many records: keeps a mirror up to date.
#ifndef SKYLARK_STORE_MIRROR_CLIENT_HPP
#define SKYLARK_STORE_MIRROR_CLIENT_HPP

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <skylark/config/store_reachability.hpp>

#include "io/event_loop.hpp"
#include "io/fetcher.hpp"
#include "platform/kv_protocol.hpp"
#include "platform/records.hpp"
#include "store/mirror.hpp"
#include "store/result.hpp"

namespace skylark::store {

/*! @brief Composes the document and the instance list from single records.
 *
 *  At most one call is in progress; it serves all pending reads. Without a
 *  pending read no call is made. */
class mirror_client {
public:
    /*! @param loop event loop
     *  @param where address of the store
     *  @param terms values that come from the settings, not from the store
     *  @param max_read_wait blocking time of one call; a dead connection is
     *  detected after about this time, and each finished call costs one of the
     *  store's reads
     *  @param on_invalid called for each record that cannot be parsed
     *  @param timing of the removals that become known after an outage */
    mirror_client(io::event_loop& loop, address where,
                  platform::deployment_terms terms, duration max_read_wait,
                  std::function<void(const input_error&)> on_invalid,
                  const lapse_timing& timing = {});

    /*! @brief See client::read. */
    void read(const store_position& index, duration wait,
              std::function<void(const read_result&)> done);

    /*! @brief See client::write; always fails, as operators write to this store
     *  directly. */
    void write(std::uint64_t revision, const std::string& text,
               const std::function<void(const write_result&)>& done);

    /*! @brief See client::instances. */
    void instances(const store_position& index, duration wait,
                   std::function<void(const list_result&)> done);

    /*! @brief The list holds the store's own records. */
    static constexpr bool authoritative_instances = true;

    /*! @brief See client::max_read_wait. */
    [[nodiscard]] duration max_read_wait() const { return m_max_read_wait; }

    /*! @brief See client::confirmed_at. */
    [[nodiscard]] time_point confirmed_at(time_point) const {
        return m_confirmed_at;
    }

    /*! @brief See client::confirmed. */
    void confirmed(time_point at) { m_mirror.confirmed(at); }

    /*! @brief See client::retry_wait. A single failed call is repeated
     * promptly, as it need not mean an outage. */
    [[nodiscard]] duration retry_wait(time_point now) const;

    /*! @brief See client::lost. */
    [[nodiscard]] bool lost(time_point now) const {
        return m_reachability.lost(now);
    }

private:
    // A read that waits for a version later than m_index.
    template <class Result>
    struct pending_read {
        store_position m_index;
        time_point m_deadline; // then gets the current value once confirmed
        std::function<void(const Result&)> m_done;
    };

    void start_next_call();
    void request_page(const std::string& after);
    void request_changes();
    void handle_page(const io::fetch_result& got);
    void handle_changes(const io::fetch_result& got);
    void tell_odd(std::span<const input_error> items);
    void fail_reads(const std::string& cause);
    void complete_reads(time_point confirmed);
    void schedule_removals();
    [[nodiscard]] bool idle() const;
    [[nodiscard]] duration next_wait(time_point now) const;
    [[nodiscard]] stored_value document_value();
    [[nodiscard]] store_position document_position();
    void add_rollouts(document& to);
    void add_rollout(document& to, std::string_view service);
    [[nodiscard]] instance_list instance_value();
    const std::optional<instance>& decode(const record& from);
    void add_entries();
    [[nodiscard]] store_position list_version() const;
    void begin_era(std::uint64_t era);

    io::event_loop& m_loop;
    io::fetcher m_fetcher;
    address m_where;
    platform::kv_protocol m_protocol;
    platform::deployment_terms m_terms;
    std::function<void(const input_error&)> m_on_invalid;
    duration m_max_read_wait;
    store_reachability m_reachability;
    mirror m_mirror;
    std::vector<pending_read<read_result>> m_document_reads;
    std::vector<pending_read<list_result>> m_list_reads;
    time_point m_call_start;   // start of the last call or listing
    duration m_call_wait{};    // blocking time of the last call
    time_point m_confirmed_at; // the mirror was current at this time
    bool m_batching{};         // the next call is delayed to batch changes
    bool m_call_in_progress{};
    bool m_listed{};            // the mirror is complete
    std::size_t m_page_count{}; // of the listing in progress
    // Invariant: corresponds to the list version m_list.m_index.
    instance_list m_list;
    std::optional<stored_value> m_document;
    // Invariant: never falls within an era. Newest revision of a record of a
    // roll-out that was seen.
    std::uint64_t m_rollout_revision{};
    // Decoded records by key. An instance's cold start is relative to the time
    // of decoding, so a record is decoded once per revision.
    struct decoded_record {
        std::uint64_t m_revision{};
        std::optional<instance> m_instance; //!< none: the record is invalid
    };
    std::map<std::string, decoded_record> m_decoded;
};

} // namespace skylark::store

#endif
