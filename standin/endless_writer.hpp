// Writes answers without an end past the HTTP server.
#ifndef STANDIN_ENDLESS_WRITER_HPP
#define STANDIN_ENDLESS_WRITER_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/core/id.hpp>
#include <skylark/core/random.hpp>

#include "io/event_loop.hpp"
#include "standin/endless_answer.hpp"

namespace standin {

/*! @brief Writes until the caller closes. It holds no more of an answer than
 *  its begin; what the kernel does not take is tried again later, and each
 *  turn writes a bounded number of bytes. */
class endless_writer {
public:
    /*! @brief Called when an answer has ended, with the bytes written. */
    using end_handler =
        std::function<void(skylark::exchange_id, std::uint64_t)>;

    endless_writer(skylark::io::event_loop& loop, std::uint64_t seed,
                   end_handler on_end);
    ~endless_writer();
    endless_writer(const endless_writer&) = delete;
    endless_writer& operator=(const endless_writer&) = delete;

    /*! @brief Begins an answer.
     *  @param key exchange in which nothing else is sent
     *  @param descriptor of its connection, closed at the end of the answer
     *  @param head status line and fields, without the empty line */
    void begin(skylark::exchange_id key, int descriptor, std::string head,
               const endless_answer& answer);

    /*! @brief Forgets the answer of an exchange that is over. */
    void drop(skylark::exchange_id key);

private:
    struct stream {
        skylark::exchange_id m_key;
        int m_descriptor;
        std::string m_begin;
        const endless_form* m_form;
        bool m_slow;
        std::uint64_t m_sent{};
        skylark::time_point m_next; // not before
    };

    void plan();
    void write_turn();
    // Both write at most what is left of a turn, and return false once the
    // connection has ended.
    bool write_some(stream& item, std::size_t left);
    bool write_piece(stream& item, std::string_view piece, std::size_t& left);
    [[nodiscard]] std::string_view block_of(const stream& item) const;

    skylark::io::event_loop& m_loop;
    skylark::random_source m_random;
    end_handler m_on_end;
    std::vector<std::string> m_blocks; // of each form, many of its repetitions
    std::vector<stream> m_streams;
    std::size_t m_first{}; // stream with which the next turn begins
    bool m_planned{};
};

} // namespace standin

#endif
