// Bounds that were lowered while requests of a connection were arriving.
#ifndef SKYLARK_IO_HELD_BOUNDS_HPP
#define SKYLARK_IO_HELD_BOUNDS_HPP

#include <algorithm>
#include <cstdint>
#include <vector>

#include "io/request_bounds.hpp"

namespace skylark::io {

/*! @brief Earlier bounds that still hold for requests that had begun.
 *
 *  Positions count the bytes that a connection has received. */
class held_bounds {
public:
    /*! @brief Holds bounds for what has arrived.
     *  @param position bytes received so far
     *  @param bounds in force until now */
    void hold(std::uint64_t position, const request_bounds& bounds) {
        m_items.push_back({position, bounds});
    }

    /*! @brief Forgets what holds for no request that begins at a position or
     *  later. */
    void release(std::uint64_t position) {
        std::erase_if(m_items, [position](const item& one) {
            return one.m_position <= position;
        });
    }

    /*! @brief Bounds of the request at the front of the connection's input.
     *  @param current bounds in force */
    [[nodiscard]] request_bounds widen(request_bounds current) const {
        for (const item& one : m_items) {
            current.m_head = std::max(current.m_head, one.m_bounds.m_head);
            current.m_body = std::max(current.m_body, one.m_bounds.m_body);
        }
        return current;
    }

    [[nodiscard]] bool empty() const { return m_items.empty(); }

private:
    struct item {
        std::uint64_t m_position;
        request_bounds m_bounds;
    };

    std::vector<item> m_items;
};

} // namespace skylark::io

#endif
