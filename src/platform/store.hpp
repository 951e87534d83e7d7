// The platform's store, behind one interface for several protocols.
#ifndef SKYLARK_PLATFORM_STORE_HPP
#define SKYLARK_PLATFORM_STORE_HPP

#include <functional>
#include <variant>

#include "io/fetcher.hpp"
#include "platform/consul_protocol.hpp"

namespace skylark::platform {

/*! @brief Protocols that a store may speak. */
using store_protocol = std::variant<consul_protocol>;

/*! @brief The store gave no usable answer. */
struct store_failure {
    bool m_may_have_run; //!< a write may have taken effect
    std::string m_cause;
};

/*! @brief The write took effect. */
struct written {};

/*! @brief The value was no longer the one compared with. */
struct write_conflict {};

using read_result = std::variant<stored_value, store_failure>;
using list_result = std::variant<instance_list, store_failure>;
using write_result = std::variant<written, write_conflict, store_failure>;

/*! @brief Client of the platform's store. */
class store {
public:
    store(io::event_loop& loop, address where, store_protocol protocol);

    /*! @brief Reads the configuration document.
     *  @param index 0 reads at once, another waits for a later revision
     *  @param wait longest wait
     *  @param done gets the result */
    void read(std::uint64_t index, duration wait,
              std::function<void(const read_result&)> done);

    /*! @brief Replaces the document if its revision is still the given one.
     *  @param revision revision that the text was made from
     *  @param text the document
     *  @param done gets the result */
    void write(std::uint64_t revision, std::string text,
               std::function<void(const write_result&)> done);

    /*! @brief Reads the instance list, as read(). */
    void instances(std::uint64_t index, duration wait,
                   std::function<void(const list_result&)> done);

private:
    io::fetcher m_fetcher;
    address m_where;
    store_protocol m_protocol;
};

} // namespace skylark::platform

#endif
