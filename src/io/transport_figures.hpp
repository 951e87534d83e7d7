// What a kernel knows of the peer of a connection.
#ifndef SKYLARK_IO_TRANSPORT_FIGURES_HPP
#define SKYLARK_IO_TRANSPORT_FIGURES_HPP

#include <skylark/core/time.hpp>

namespace skylark::io {

/*! @brief What the kernel knows of a connection (from TCP_INFO). */
struct transport_figures {
    unsigned m_unacknowledged{};  //!< segments in flight
    unsigned m_probes{};          //!< window probes without a reply
    duration m_since_data_sent{}; //!< repeats count
    duration m_since_reply{};     //!< since any acknowledgement came
};

} // namespace skylark::io

#endif
