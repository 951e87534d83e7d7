// Bounds what the kernel keeps of connections' input that nobody has read.
#ifndef SKYLARK_IO_RECEIVE_WINDOWS_HPP
#define SKYLARK_IO_RECEIVE_WINDOWS_HPP

#include <cstddef>

namespace skylark::io {

/*! @brief Receive buffers of connections that share one budget.
 *
 *  A connection begins with a narrow buffer. One with much input gets a wide
 *  buffer while the budget has room, and keeps it until it closes: the kernel
 *  drops what arrives beyond a buffer that was made smaller, so its peer would
 *  stall. Without room it stays narrow, and its peer waits for each part. */
class receive_windows {
public:
    //! SO_RCVBUF in bytes, of which the kernel reserves twice as many.
    static constexpr int narrow = 16 << 10;
    static constexpr int wide = 128 << 10;
    //! Input of one message from which on its connection is worth widening: a
    //! narrow buffer can't take it in at once.
    static constexpr std::size_t much_input{std::size_t{32} << 10U};

    /*! @brief Bytes that the kernel may reserve for a wide buffer beyond a
     *  narrow one. */
    static constexpr std::size_t cost{2 *
                                      static_cast<std::size_t>(wide - narrow)};

    /*! @brief Constructs a budget that is unused.
     *  @param budget bytes of all wide buffers beyond narrow ones */
    explicit receive_windows(std::size_t budget) : m_budget{budget} {}

    /*! @brief Gives a socket a narrow buffer. Must be called before it connects
     *  or listens; connections accepted by a listening socket inherit it. */
    static void begin(int socket);

    /*! @brief Gives a connection a wide buffer if there is room.
     *  @return whether it has one, to be given back by release() */
    bool widen(int socket);

    /*! @brief Takes a wide buffer back; its connection must be closed next. */
    void release() { m_granted -= cost; }

    /*! @brief Bytes of the budget in use. */
    [[nodiscard]] std::size_t granted() const { return m_granted; }

private:
    std::size_t m_budget;
    std::size_t m_granted{}; // a multiple of cost, at most m_budget
};

} // namespace skylark::io

#endif
