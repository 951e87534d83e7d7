// Writes the status of a roll-out into the platform's store.
#ifndef SKYLARK_STORE_ROLLOUT_WRITER_HPP
#define SKYLARK_STORE_ROLLOUT_WRITER_HPP

#include <functional>

#include <skylark/config/rollout_order.hpp>

#include "io/event_loop.hpp"
#include "io/fetcher.hpp"
#include "platform/kv_protocol.hpp"
#include "store/result.hpp"

namespace skylark::store {

/*! @brief Writes status and record of an order in one transaction, on the
 *  condition that the status still has the revision that the writer knows. Of
 *  several entries that write at once, one succeeds. */
class rollout_writer {
public:
    rollout_writer(io::event_loop& loop, address where);

    /*! @brief Writes a stage.
     *  @param order as it is to be recorded, with the new stage; its
     *  m_status_revision is the condition
     *  @param done receives the result */
    void write(const rollout_order& order,
               std::function<void(const write_result&)> done);

private:
    io::fetcher m_fetcher;
    address m_where;
    platform::kv_protocol m_protocol;
};

} // namespace skylark::store

#endif
