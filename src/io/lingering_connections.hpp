// Lingering close of connections whose answer was sent.
#ifndef SKYLARK_IO_LINGERING_CONNECTIONS_HPP
#define SKYLARK_IO_LINGERING_CONNECTIONS_HPP

#include <cstddef>
#include <map>

#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>

#include "io/event_loop.hpp"
#include "io/native.hpp"

namespace skylark::io {

/*! @brief Bounds of lingering. */
struct lingering_limits {
    duration m_time{seconds{5}}; //!< for each connection
    std::size_t m_count{1024};   //!< connections; must be at least 1
};

/*! @brief Connections that send nothing more and discard their input until the
 *  caller closes its side.
 *
 *  Closing a socket with unread input resets the connection, which may destroy
 *  data that the caller has not received yet. */
class lingering_connections {
public:
    explicit lingering_connections(event_loop& loop,
                                   const lingering_limits& limits = {});
    ~lingering_connections();
    lingering_connections(const lingering_connections&) = delete;
    lingering_connections& operator=(const lingering_connections&) = delete;

    /*! @brief Ends the sending side of a connection and closes it once the
     *  caller has closed or the time is up. Beyond the maximum count, the
     *  oldest connection is closed instead of waiting longer.
     *  @param fd connected socket; ownership passes to this object */
    void add(int fd);

    /*! @brief Closes the oldest connection, to free its descriptor.
     *  @return false if there is none */
    bool close_oldest();

    /*! @brief Number of connections that are not closed yet. */
    [[nodiscard]] std::size_t size() const { return m_connections.size(); }

    /*! @brief Bytes that the kernel keeps for all connections. */
    [[nodiscard]] std::size_t kernel_bytes() const;

    /*! @brief Whether all connections could be closed without loss: everything
     *  sent was acknowledged, and no caller has been sending. */
    [[nodiscard]] bool delivered() const;

private:
    using key = id<struct lingering_tag>;

    struct connection {
        lingering_connections* m_owner;
        h2o_socket_t* m_socket;
        key m_key;
        timer_id m_timer;
        bool m_input_seen{};
    };

    static void on_readable(h2o_socket_t* socket, const char* error);
    void close(key of);

    event_loop& m_loop;
    lingering_limits m_limits;
    // Invariant: keys ascend with the time of add(); sockets point to their
    // connection here.
    std::map<key, connection> m_connections;
    key::value_type m_last{};
};

} // namespace skylark::io

#endif
