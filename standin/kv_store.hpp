// Stand-in for the metadata store of the users' platform.
#ifndef SKYLARK_STANDIN_KV_STORE_HPP
#define SKYLARK_STANDIN_KV_STORE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include <skylark/core/address.hpp>

#include "io/event_loop.hpp"
#include "io/http_server.hpp"

namespace standin {

using skylark::address;
using skylark::duration;
using skylark::exchange_id;
using skylark::parsed;

/*! @brief What the store does wrong. */
struct kv_faults {
    bool m_refusing{};            //!< 503: nothing was done
    bool m_limiting{};            //!< 429
    bool m_silent{};              //!< takes calls and never answers
    bool m_losing{};              //!< does what it is told and never answers
    duration m_delay{0};          //!< before each answer
    std::size_t m_page_size{500}; //!< items of one page
};

/*! @brief Keys with one revision counter, leases, watches and transactions. */
class kv_store {
public:
    explicit kv_store(skylark::io::event_loop& loop);

    /*! @brief Starts listening; port 0 takes a free one. */
    parsed<address> listen(address where) { return m_server.listen(where); }

    /*! @brief Writes a key as operators and upstreams do. */
    void put(const std::string& key, const std::string& value);

    /*! @brief Removes a key, if it is there. */
    void erase(const std::string& key);

    /*! @brief Forgets all changes up to now and cuts waiting watches. */
    void drop_history();

    /*! @brief Closes the connections of all waiting watches. */
    void break_watches();

    /*! @brief Ends all leases with their keys, as an outage may. */
    void end_all_leases();

    /*! @brief Remembers what the store holds; leases are in no copy. Copies
     *  older than a quarter of a minute are dropped. */
    void save_copy();

    /*! @brief Returns to the newest copy of at least an age: items, revision
     *  and lease ids go back, leases end with their keys, the history is
     *  gone, waiting watches are cut, and the era rises.
     *  @return false, and nothing changes, if no copy is that old */
    bool restore_copy(duration age = duration{0});

    void set_faults(const kv_faults& faults) { m_faults = faults; }

    [[nodiscard]] std::uint64_t era() const { return m_era; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    [[nodiscard]] std::size_t calls() const { return m_calls; }
    [[nodiscard]] std::size_t keys() const { return m_items.size(); }
    [[nodiscard]] bool has(const std::string& key) const {
        return m_items.contains(key);
    }
    [[nodiscard]] bool holds(const std::string& key,
                             const std::string& value) const;
    [[nodiscard]] std::vector<std::string> keys(std::string_view prefix) const;

private:
    struct item {
        std::string m_value; // as base64
        std::uint64_t m_revision{};
        std::uint64_t m_created{};
        std::uint64_t m_lease{};
    };
    struct change {
        std::string m_key;
        item m_item;
        bool m_deleted{};
    };
    struct copy {
        skylark::time_point m_saved;
        std::map<std::string, item> m_items; // without those of leases
        std::uint64_t m_revision{};
        std::uint64_t m_last_lease{};
    };
    struct watcher {
        std::string m_prefix;
        std::uint64_t m_after{};
        skylark::time_point m_due;
    };

    void serve(exchange_id key, const skylark::io::request_view& request);
    void route(exchange_id key, std::string_view method, std::string_view path,
               const std::string& body);
    void range(exchange_id key, std::string_view path);
    void watch(exchange_id key, std::string_view path);
    void transact(exchange_id key, const std::string& body);
    void grant(exchange_id key, const std::string& body);
    void renew(exchange_id key, std::uint64_t lease);
    void end_lease(std::uint64_t lease);
    void answer_watchers();
    void cut_watchers();
    void expire();
    bool conditions_hold(const nlohmann::json& call) const;
    void write(const std::string& key, const std::string& value,
               std::uint64_t lease);
    void reply(exchange_id key, int status, const nlohmann::json& body);
    [[nodiscard]] nlohmann::json changes_after(std::string_view prefix,
                                               std::uint64_t after) const;

    struct lease {
        duration m_life{};
        skylark::time_point m_end;
    };

    skylark::io::event_loop& m_loop;
    skylark::io::http_server m_server;
    kv_faults m_faults;
    std::map<std::string, item> m_items;
    std::vector<change> m_history; // oldest first
    std::uint64_t m_revision{1};
    std::uint64_t m_history_from{1}; // later changes are all in m_history
    std::map<exchange_id, watcher> m_watchers;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_last_lease{};
    std::uint64_t m_era{1};    // rises when the store returns from a copy
    std::deque<copy> m_copies; // oldest first
    std::size_t m_calls{};
};

} // namespace standin

#endif
