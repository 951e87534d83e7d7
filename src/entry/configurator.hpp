// Brings configuration and instance list into this entry, from the store or
// from peers.
#ifndef SKYLARK_ENTRY_CONFIGURATOR_HPP
#define SKYLARK_ENTRY_CONFIGURATOR_HPP

#include <functional>
#include <optional>
#include <string>

#include <skylark/config/update_delay.hpp>
#include <skylark/config/watch_schedule.hpp>
#include <skylark/discovery/instance_log.hpp>
#include <skylark/discovery/instance_memory.hpp>
#include <skylark/discovery/list_guard.hpp>

#include "entry/context.hpp"
#include "entry/peer_transfer.hpp"
#include "io/fetcher.hpp"
#include "store/client.hpp"

namespace skylark::entry {

/*! @brief Watches the store when it is this entry's turn, and peers always. */
class configurator {
public:
    /*! @param changed is called after each adoption */
    configurator(context& shared, std::function<void()> changed);

    void start();

    /*! @brief A peer's mark was heard: fetch what it has and we lack. */
    void peer_mark(const member& peer);

    /*! @brief Own mark, for heartbeats. */
    [[nodiscard]] config_mark mark() const;

    /*! @brief What a peer lacks of the instance list.
     *  @param index of the list that it has */
    [[nodiscard]] instance_changes
    changes_since(const store_position& index) const {
        return m_log.since(index);
    }

    /*! @brief Offers a document that was read or written elsewhere. */
    void offer(const store_position& position, const std::string& text,
               std::string_view source);

    /*! @brief Time since a newer configuration was announced that is not in
     *  force; zero if there is none. */
    [[nodiscard]] duration pending_for(time_point now) const {
        return m_delay.pending_for(now);
    }

    store::client& store() { return m_store; }

private:
    store::client open_store();
    [[nodiscard]] bool is_turn(watch_schedule& of,
                               const peer_transfer& from_peers) const;
    [[nodiscard]] transfer_plan plan() const;
    [[nodiscard]] std::uint64_t own_zone() const;
    [[nodiscard]] bool in_own_zone(const address& of) const;
    [[nodiscard]] transfer_hooks document_hooks();
    [[nodiscard]] transfer_hooks list_hooks();
    [[nodiscard]] bool knows_all() const;
    [[nodiscard]] duration next_check() const;
    void note_store();
    void watch_document();
    void watch_instances();
    void take_document(const store::read_result& result, time_point asked);
    void confirm(time_point at);
    void forget_announced();
    void take_instances(const store::list_result& result);
    void offer_instances(instance_list list, std::string_view source);
    void note_instances(const instance_changes& changes,
                        std::string_view source);
    [[nodiscard]] io::fetch_request document_request();
    transfer_end take_peer_document(const io::fetch_answer& answer);
    transfer_end take_changes(const io::fetch_answer& answer);
    void apply_adopted(const document& before, std::string_view source);
    void note_failed_fetch(std::string_view what, const address& from,
                           std::string_view cause);
    void note_adoption(const store_position& position, std::string_view source);
    void note_zones(const document& before);
    void schedule_retention_end();
    void note_era(std::uint64_t era);

    context& m_shared;
    std::function<void()> m_changed;
    store::client m_store;
    peer_transfer m_documents;
    peer_transfer m_lists;
    list_guard m_guard;
    instance_memory m_memory;
    instance_log m_log; //!< of the list in use, for peers
    watch_schedule m_document_turn;
    watch_schedule m_list_turn;
    update_delay m_delay;    // of the configuration
    time_point m_store_call; // begin of the last read of the configuration
    bool m_noted_lost{};     // what was last noted of the store
    bool m_peer_knows{};     // one with document and list was heard
    store_position m_noted_revert; // that was told last
    std::optional<std::uint64_t> m_noted_era;
};

} // namespace skylark::entry

#endif
