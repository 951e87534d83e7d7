// A server's own record in the platform's store.
#include "standin/registration.hpp"

#include <chrono>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace standin {

namespace io = skylark::io;

namespace {

constexpr auto heartbeat = skylark::milliseconds{1000};
constexpr std::size_t answer_limit = 4096; // bytes

std::int64_t wall_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

registration::registration(io::event_loop& loop, skylark::address store,
                           server_record record)
    : m_fetcher{loop, answer_limit}, m_store{store},
      m_record{std::move(record)}, m_born{wall_ms()} {
    call("PUT", [](int) {});
    loop.every(heartbeat, [this] {
        if (!m_withdrawn)
            call("PUT", [](int) {});
    });
}

void registration::set_state(const std::string& state,
                             std::function<void(int)> done) {
    m_state = state;
    ++m_seq_no;
    call("PUT", std::move(done));
}

void registration::withdraw(std::function<void(int)> done) {
    m_withdrawn = true;
    call("DELETE", std::move(done));
}

std::string registration::text() const {
    const nlohmann::json out{
        {"address", m_record.m_address.text()},
        {"born", m_born},
        {"info",
         {{"service", m_record.m_service},
          {"zone", m_record.m_zone},
          {"version", "v1"},
          {"slots", m_record.m_slots}}},
        {"status",
         {{"state", m_state}, {"seq_no", m_seq_no}, {"warmup_left_ms", 0}}}};
    return out.dump();
}

void registration::call(const std::string& method,
                        std::function<void(int)> done) {
    io::fetch_request request;
    request.m_to = m_store;
    request.m_method = method;
    request.m_path = "/standin/key?key=servers/" + m_record.m_instance;
    if (method == "PUT")
        request.m_body = text();
    m_fetcher.run(request, [done = std::move(done)](const auto& result) {
        const auto* answer = std::get_if<io::fetch_answer>(&result);
        done(answer ? answer->m_status : 0);
    });
}

} // namespace standin
