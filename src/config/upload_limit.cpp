// Limit on the transfers that a source serves at a time.
#include <skylark/config/upload_limit.hpp>

namespace skylark {

bool upload_limit::begin(exchange_id key, const address& to,
                         std::size_t bytes) {
    if (m_uploads.size() >= least_transfers && m_bytes + bytes > most_bytes)
        return false;
    m_uploads[key] = {to, bytes};
    m_bytes += bytes;
    return true;
}

void upload_limit::ended(exchange_id key, bool complete) {
    const auto found = m_uploads.find(key);
    if (found == m_uploads.end())
        return;
    const upload ended = found->second;
    m_uploads.erase(found);
    m_bytes -= ended.m_bytes;
    if (!complete || !ended.m_present)
        return;
    std::erase(m_holders, ended.m_to);
    m_holders.push_front(ended.m_to);
    if (m_holders.size() > most_holders)
        m_holders.pop_back();
}

void upload_limit::version_changed() {
    m_holders.clear();
    for (auto& [key, item] : m_uploads)
        item.m_present = false;
}

std::vector<address> upload_limit::holders() const {
    std::vector<address> out{m_holders.begin(), m_holders.end()};
    for (const auto& [key, item] : m_uploads)
        if (item.m_present && out.size() < most_holders)
            out.push_back(item.m_to);
    return out;
}

} // namespace skylark
