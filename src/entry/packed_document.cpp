// The configuration in force as it is passed on to other entries.
#include "entry/packed_document.hpp"

#include <skylark/core/hash.hpp>

#include "peer/gzip.hpp"

namespace skylark::entry {

void packed_document::set_text(std::string_view text) {
    m_text = text;
    m_digest.clear();
    m_packed.clear();
}

const std::string& packed_document::digest() {
    if (m_digest.empty())
        m_digest = '"' + std::to_string(hash(m_text)) + '-' +
                   std::to_string(m_text.size()) + '"';
    return m_digest;
}

const std::string& packed_document::packed() {
    if (m_packed.empty())
        m_packed = peer::gzip(m_text);
    return m_packed;
}

} // namespace skylark::entry
