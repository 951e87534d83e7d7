/*! @file
 *  Service: a set of upstreams that answer the same requests. */
#ifndef SKYLARK_CONFIG_SERVICE_HPP
#define SKYLARK_CONFIG_SERVICE_HPP

#include <cstdint>
#include <string>

namespace skylark {

/*! @brief What the operators declare about a service. The upstreams
 *  themselves come from the platform's instance list. */
struct service {
    std::string m_name;
    std::uint32_t m_slots{1};      //!< concurrent requests per upstream
    std::uint32_t m_cold_slots{1}; //!< the same during its cold start
    //! Slots of each upstream that bulk requests never use.
    std::uint32_t m_urgent_reserve{1};
    std::string m_policy{"preferred_least"}; //!< name of a routing policy
    //! Path on the upstream that returns the load report at once.
    std::string m_health_path{"/load"};
    //! Whether entries own shares of cold upstreams and of bulk work. Without
    //! shares, cold upstreams get no requests and bulk has no separate limit.
    bool m_shares{true};
    //! Query the upstream's load just before each request is sent.
    bool m_ask{false};

    bool operator==(const service&) const = default;
};

} // namespace skylark

#endif
