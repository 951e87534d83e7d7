// The configuration in force as it is passed on to other entries.
#ifndef SKYLARK_ENTRY_PACKED_DOCUMENT_HPP
#define SKYLARK_ENTRY_PACKED_DOCUMENT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylark::entry {

/*! @brief Digest and compressed form of one text. Both are computed when they
 *  are needed first, and kept until the text changes. */
class packed_document {
public:
    /*! @brief Sets the text.
     *  @param text must stay valid until the next call */
    void set_text(std::string_view text);

    /*! @brief Sets the compressed form as another entry computed it.
     *  @param packed of the text that is set */
    void set_packed(std::string packed) { m_packed = std::move(packed); }

    /*! @brief Identifies the text among all versions. */
    [[nodiscard]] const std::string& digest();

    /*! @brief The text in gzip format. */
    [[nodiscard]] const std::string& packed();

private:
    std::string_view m_text;
    // Invariant: of m_text, if set.
    std::string m_digest;
    std::string m_packed;
};

} // namespace skylark::entry

#endif
