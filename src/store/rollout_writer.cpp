// Writes the status of a roll-out into the platform's store.
#include "store/rollout_writer.hpp"

#include <array>
#include <utility>

#include "platform/rollout_records.hpp"

namespace skylark::store {

namespace {
constexpr std::size_t max_answer_bytes = std::size_t{64} << 10U;
} // namespace

rollout_writer::rollout_writer(io::event_loop& loop, address where)
    : m_fetcher{loop, max_answer_bytes}, m_where{where} {}

void rollout_writer::write(const rollout_order& order,
                           std::function<void(const write_result&)> done) {
    const std::string status_key =
        std::string{platform::rollout_status_prefix} + order.m_service;
    const std::array writes{
        platform::key_write{
            status_key, platform::format_rollout_status(order, order.m_stage)},
        platform::key_write{std::string{platform::rollout_record_prefix} +
                                order.m_service,
                            platform::format_rollout_record(order)}};
    auto request =
        m_protocol.write_if(status_key, order.m_status_revision, writes);
    request.m_to = m_where;
    m_fetcher.run(request, [this, done = std::move(done)](
                               const io::fetch_result& got) {
        const auto* answer = std::get_if<io::fetch_answer>(&got);
        if (answer)
            done(m_protocol.read_write(*answer));
        else
            done(store_failure{std::get<io::fetch_failure>(got).m_may_have_run,
                               std::get<io::fetch_failure>(got).m_cause});
    });
}

} // namespace skylark::store
