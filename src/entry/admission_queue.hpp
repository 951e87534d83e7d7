// Waiting requests of one service, urgent ones first.
#ifndef SKYLARK_ENTRY_ADMISSION_QUEUE_HPP
#define SKYLARK_ENTRY_ADMISSION_QUEUE_HPP

#include <algorithm>
#include <array>
#include <deque>

#include <skylark/config/rule.hpp>

#include "entry/request.hpp"

namespace skylark::entry {

/*! @brief One queue for each class. */
class admission_queue {
public:
    /*! @brief Adds a request at the end of its class; the caller has looked
     *  at the length. */
    void push(request_class of, request_id key) { queue(of).push_back(key); }

    /*! @brief Adds a request before the others of its class, for a further
     *  attempt; such a request was admitted once and is never refused. */
    void push_front(request_class of, request_id key) {
        queue(of).push_front(key);
    }

    void remove(request_class of, request_id key) {
        std::erase(queue(of), key);
    }

    /*! @brief The waiting requests of a class, first come first. */
    std::deque<request_id>& queue(request_class of) {
        return m_queues[static_cast<std::size_t>(of)];
    }

    [[nodiscard]] std::size_t size() const {
        std::size_t sum = 0;
        for (const auto& line : m_queues)
            sum += line.size();
        return sum;
    }

private:
    std::array<std::deque<request_id>, request_class_count> m_queues;
};

} // namespace skylark::entry

#endif
