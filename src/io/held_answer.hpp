// Answer of a request that was begun before its turn on its connection.
#ifndef SKYLARK_IO_HELD_ANSWER_HPP
#define SKYLARK_IO_HELD_ANSWER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/http_message.hpp"

namespace skylark::io {

/*! @brief Keeps an answer, or the part of it that has come, until it can be
 *  written. Its owner bounds how much is added. */
class held_answer {
public:
    /*! @brief Takes the head; does nothing if there is one. */
    void start(int status, std::span<const header> headers,
               std::optional<std::uint64_t> length) {
        if (started())
            return;
        m_status = status;
        m_headers.assign(headers.begin(), headers.end());
        m_length = length;
    }

    /*! @brief Takes a piece of the body. Does nothing before start(), after
     *  the last piece, after abort(), or while the sender has to wait.
     *  @return whether the piece was taken */
    bool add(std::string_view piece, bool last) {
        if (!started() || m_last || m_aborted || m_sender_waits)
            return false;
        m_body += piece;
        m_last = last;
        m_sender_waits = true;
        return true;
    }

    /*! @brief Ends the wait of the sender.
     *  @return whether it waited and may send more */
    bool release_sender() {
        return std::exchange(m_sender_waits, false) && !m_last && !m_aborted;
    }

    /*! @brief Marks the answer as broken off and drops its body. */
    void abort() {
        m_aborted = true;
        m_body = {};
    }

    /*! @brief Removes and returns what was added to the body. */
    std::string take_body() { return std::exchange(m_body, {}); }

    [[nodiscard]] bool started() const { return m_status != 0; }
    [[nodiscard]] bool aborted() const { return m_aborted; }
    [[nodiscard]] bool last() const { return m_last; }
    [[nodiscard]] std::size_t size() const { return m_body.size(); }
    [[nodiscard]] int status() const { return m_status; }
    [[nodiscard]] std::span<const header> headers() const { return m_headers; }
    [[nodiscard]] std::optional<std::uint64_t> length() const {
        return m_length;
    }

private:
    int m_status{}; // 0: not started
    std::vector<header> m_headers;
    std::optional<std::uint64_t> m_length;
    std::string m_body;
    bool m_last{}; // m_body ends with the last piece
    bool m_aborted{};
    bool m_sender_waits{}; // m_ready was not called for the last piece
};

} // namespace skylark::io

#endif
