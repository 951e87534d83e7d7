// Admission queue of one service: requests that wait for an upstream.
#ifndef SKYLARK_ENTRY_ADMISSION_QUEUE_HPP
#define SKYLARK_ENTRY_ADMISSION_QUEUE_HPP

#include <algorithm>
#include <array>
#include <deque>

#include <skylark/config/rule.hpp>

#include "entry/request.hpp"

namespace skylark::entry {

/*! @brief One FIFO queue for each request class. */
class admission_queue {
public:
    /*! @brief Appends a request to the queue of its class.
     *  @note Does not limit the length; the caller has to check it first. */
    void push(request_class kind, request_id key) {
        queue(kind).push_back(key);
    }

    /*! @brief Puts a request in front of the others of its class, for a further
     *  attempt. Such a request was admitted before, so no length limit applies
     *  to it. */
    void push_front(request_class kind, request_id key) {
        queue(kind).push_front(key);
    }

    void remove(request_class kind, request_id key) {
        std::erase(queue(kind), key);
    }

    /*! @brief Queue of one class, longest waiting request first. */
    std::deque<request_id>& queue(request_class kind) {
        return m_queues[static_cast<std::size_t>(kind)];
    }

    /*! @brief Number of waiting requests of all classes. */
    [[nodiscard]] std::size_t size() const {
        std::size_t sum = 0;
        for (const auto& waiting : m_queues)
            sum += waiting.size();
        return sum;
    }

private:
    std::array<std::deque<request_id>, request_class_count> m_queues;
};

} // namespace skylark::entry

#endif
