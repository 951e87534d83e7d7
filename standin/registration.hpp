// A server's own record in the platform's store.
#ifndef STANDIN_REGISTRATION_HPP
#define STANDIN_REGISTRATION_HPP

#include <functional>
#include <string>

#include <skylark/core/address.hpp>

#include "io/event_loop.hpp"
#include "io/fetcher.hpp"

namespace standin {

/*! @brief What a record says of its server. */
struct server_record {
    std::string m_instance;
    std::string m_service;
    std::string m_zone;
    std::uint32_t m_slots{};
    skylark::address m_address;
};

/*! @brief Writes the record at once, at each change, and again periodically,
 *  until it is withdrawn. */
class registration {
public:
    /*! @param store operators' address of the store's stand-in */
    registration(skylark::io::event_loop& loop, skylark::address store,
                 server_record record);

    /*! @brief Writes another state.
     *  @param done gets the store's status, 0 without an answer */
    void set_state(const std::string& state, std::function<void(int)> done);

    /*! @brief Removes the record and writes it no more. */
    void withdraw(std::function<void(int)> done);

private:
    void call(const std::string& method, std::function<void(int)> done);
    [[nodiscard]] std::string text() const;

    skylark::io::fetcher m_fetcher;
    skylark::address m_store;
    server_record m_record;
    std::string m_state{"ready"};
    std::int64_t m_seq_no{1}; // of the present state
    std::int64_t m_born;      // wall clock, ms
    bool m_withdrawn{};
};

} // namespace standin

#endif
