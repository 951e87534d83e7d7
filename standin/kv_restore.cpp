// What the stand-in for the metadata store loses: its history, leases, and
// changes since a copy.
#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "io/http_status.hpp"
#include "standin/kv_store.hpp"

namespace standin {

namespace io = skylark::io;

namespace {

constexpr auto copies_kept = skylark::seconds{15};

} // namespace

void kv_store::cut_watchers() {
    for (const auto& [key, waiting] : std::exchange(m_watchers, {}))
        reply(key, io::status::gone, nlohmann::json::object());
}

void kv_store::break_watches() {
    for (const auto& [key, waiting] : std::exchange(m_watchers, {})) {
        m_server.start(key, io::status::ok, {}, 1);
        m_server.abort(key);
    }
}

void kv_store::drop_history() {
    m_history.clear();
    m_history_from = ++m_revision;
    cut_watchers();
}

void kv_store::end_all_leases() {
    while (!m_leases.empty())
        end_lease(m_leases.begin()->first);
}

void kv_store::save_copy() {
    const auto now = io::event_loop::now();
    copy fresh{now, m_items, m_revision, m_last_lease};
    std::erase_if(fresh.m_items,
                  [](const auto& one) { return one.second.m_lease != 0; });
    m_copies.push_back(std::move(fresh));
    while (m_copies.front().m_saved < now - copies_kept)
        m_copies.pop_front();
}

bool kv_store::restore_copy(duration age) {
    const auto latest = io::event_loop::now() - age;
    const auto after =
        std::find_if(m_copies.begin(), m_copies.end(),
                     [&](const copy& one) { return one.m_saved > latest; });
    if (after == m_copies.begin())
        return false;
    m_copies.erase(after, m_copies.end());
    const copy& taken = m_copies.back();
    m_items = taken.m_items;
    m_revision = taken.m_revision;
    m_last_lease = taken.m_last_lease;
    m_leases.clear();
    m_history.clear();
    m_history_from = m_revision;
    ++m_era;
    cut_watchers();
    return true;
}

} // namespace standin
