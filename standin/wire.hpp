// Stand-in for what lies between two ends: forwards TCP connections and can
// lose track of them, so that open ones go silent while new ones work.
#ifndef STANDIN_WIRE_HPP
#define STANDIN_WIRE_HPP

#include <map>
#include <vector>

#include <poll.h>

#include <skylark/core/address.hpp>

namespace standin {

/*! @brief Forwards connections from one address to another. */
class wire {
public:
    /*! @param to where connections are forwarded */
    explicit wire(skylark::address to) : m_to{to} {}
    ~wire();
    wire(const wire&) = delete;
    wire& operator=(const wire&) = delete;

    /*! @brief Starts listening. */
    skylark::parsed<skylark::address> listen(skylark::address where);

    /*! @brief Waits once and forwards what is there. */
    void run_once(int wait_ms);

    /*! @brief Loses track of all open connections: bytes vanish, neither end
     *  is told. */
    void forget();

    [[nodiscard]] std::size_t forgotten() const { return m_silent.size(); }

private:
    void accept_one();
    void forward(int from, int to);
    void close_pair(int one, int other);

    skylark::address m_to;
    int m_listener{-1};
    // Invariant: holds both directions of each pair.
    std::map<int, int> m_pairs;
    std::vector<int> m_silent; // kept open, read by nobody
};

} // namespace standin

#endif
