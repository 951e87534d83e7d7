// mirror_client: composes document and instance list from the records.
#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"
#include "store/mirror_client.hpp"

namespace skylark::store {

namespace {
// First segment of the keys that entries write.
constexpr std::string_view entry_segment = "skylark/";
} // namespace

stored_value mirror_client::document_value() {
    const store_position position =
        m_mirror.last_changed(platform::operator_prefix);
    if (m_document && m_document->m_position == position)
        return *m_document;
    const auto& records = m_mirror.all();
    const auto found = records.find(platform::configuration_key);
    if (found == records.end())
        return {};
    std::vector<std::string> drained;
    const auto prefix = platform::drained_zone_prefix;
    for (auto it = records.lower_bound(prefix);
         it != records.end() && it->first.starts_with(prefix); ++it)
        drained.push_back(it->first.substr(prefix.size()));
    const auto read =
        platform::read_configuration(found->second.m_value, m_terms, drained);
    // The reader rejects the error's text and logs it. The configuration's own
    // text may contain keys, which an excerpt of it would show.
    m_document = stored_value{
        position, read ? format_compact_document(read.value())
                       : json_text({{"invalid", read.error().text()}})};
    if (!read)
        m_on_invalid(read.error());
    return *m_document;
}

const std::optional<instance>& mirror_client::decode(const record& from) {
    decoded_record& kept = m_decoded[from.m_key];
    if (kept.m_revision == from.m_revision)
        return kept.m_instance;
    kept = {from.m_revision, std::nullopt};
    auto id = std::string_view{from.m_key};
    id.remove_prefix(platform::upstream_prefix.size());
    auto read =
        platform::read_upstream(id, from.m_value, io::event_loop::now());
    if (read)
        kept.m_instance = std::move(read).value();
    else
        m_on_invalid(read.error());
    return kept.m_instance;
}

store_position mirror_client::list_version() const {
    return m_mirror.version({platform::upstream_prefix, entry_segment});
}

// The value of an entry's record is its heartbeat address.
void mirror_client::add_entries() {
    const auto& records = m_mirror.all();
    const auto prefix = platform::entry_prefix;
    for (auto it = records.lower_bound(prefix);
         it != records.end() && it->first.starts_with(prefix); ++it) {
        const auto where = parse_address(it->second.m_value, it->first);
        decoded_record& kept = m_decoded[it->first];
        const bool fresh = kept.m_revision != it->second.m_revision;
        kept.m_revision = it->second.m_revision;
        if (!where) {
            if (fresh)
                m_on_invalid(where.error());
            continue;
        }
        instance found;
        found.m_id = it->first.substr(prefix.size());
        found.m_role = instance_role::entry;
        found.m_address = where.value();
        m_list.m_instances.push_back(std::move(found));
    }
}

instance_list mirror_client::instance_value() {
    const store_position version = list_version();
    if (m_list.m_index == version)
        return m_list;
    const auto& records = m_mirror.all();
    const auto prefix = platform::upstream_prefix;
    m_list = {version, {}};
    std::erase_if(m_decoded, [&](const auto& item) {
        return !records.contains(item.first);
    });
    for (auto it = records.lower_bound(prefix);
         it != records.end() && it->first.starts_with(prefix); ++it)
        if (const auto& found = decode(it->second)) {
            m_list.m_instances.push_back(*found);
            m_list.m_instances.back().m_gone_from =
                m_mirror.removal_due(it->first);
        }
    add_entries();
    return m_list;
}

} // namespace skylark::store
