// Client of a store of many keys: keeps a mirror and follows the changes.
#ifndef SKYLARK_STORE_MIRROR_CLIENT_HPP
#define SKYLARK_STORE_MIRROR_CLIENT_HPP

#include <functional>
#include <map>
#include <optional>
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
 *  One waiting call serves all readers; none waits while nobody reads. */
class mirror_client {
public:
    /*! @param loop event loop
     *  @param where the store
     *  @param terms what the settings say besides the store
     *  @param longest_read wait of one call; a silent connection is noticed
     *  about this late, and each call that ends costs one of the store's reads
     *  @param note gets a line for each record that cannot be used */
    mirror_client(io::event_loop& loop, address where,
                  platform::deployment_terms terms, duration longest_read,
                  std::function<void(const input_error&)> note);

    /*! @brief See client::read. */
    void read(std::uint64_t index, duration wait,
              std::function<void(const read_result&)> done);

    /*! @brief See client::write; here operators write the store themselves,
     *  so nothing is written. */
    void write(std::uint64_t revision, const std::string& text,
               const std::function<void(const write_result&)>& done);

    /*! @brief See client::instances. */
    void instances(std::uint64_t index, duration wait,
                   std::function<void(const list_result&)> done);

    static constexpr bool exact_instances = true;

    /*! @brief See client::longest_read. */
    [[nodiscard]] duration longest_read() const { return m_longest_read; }

    /*! @brief See client::confirmed. */
    [[nodiscard]] time_point confirmed(time_point) const { return m_confirmed; }

    /*! @brief See client::lost. */
    [[nodiscard]] bool lost(time_point now) const { return m_reach.lost(now); }

private:
    // Someone who waits for something newer than he has.
    template <class Result>
    struct reader {
        std::uint64_t m_index;
        time_point m_due; // gets what there is, once it was confirmed
        std::function<void(const Result&)> m_done;
    };

    void advance();
    void list(const std::string& after);
    void watch();
    void take_page(const io::fetch_result& got);
    void take_changes(const io::fetch_result& got);
    void failed(const std::string& cause);
    void serve(time_point confirmed);
    void settle_later();
    [[nodiscard]] bool idle() const;
    [[nodiscard]] duration longest_wait(time_point now) const;
    [[nodiscard]] stored_value document_value();
    [[nodiscard]] instance_list instance_value();
    const std::optional<instance>& decode(const record& from);
    void add_entries();
    [[nodiscard]] std::uint64_t list_version() const;

    io::event_loop& m_loop;
    io::fetcher m_fetcher;
    address m_where;
    platform::kv_protocol m_protocol;
    platform::deployment_terms m_terms;
    std::function<void(const input_error&)> m_note;
    duration m_longest_read;
    store_reachability m_reach;
    mirror m_mirror;
    std::vector<reader<read_result>> m_document_readers;
    std::vector<reader<list_result>> m_list_readers;
    time_point m_called;    // begin of the last call, or of its first page
    duration m_wait{};      // that it asked for
    time_point m_confirmed; // what is known was the newest then
    bool m_gathering{};     // no call for a while, so that changes gather
    bool m_calling{};       // a call is under way
    bool m_listed{};        // the mirror holds a whole listing
    std::size_t m_pages{};  // of the listing under way
    // Invariant: belongs to the mirror's version m_list.m_index.
    instance_list m_list;
    std::optional<stored_value> m_document;
    // Records as they were decoded, by key: a cold start counts from there.
    struct decoded {
        std::uint64_t m_revision{};
        std::optional<instance> m_instance; //!< none: the record is unusable
    };
    std::map<std::string, decoded> m_decoded;
};

} // namespace skylark::store

#endif
