// A version that peers announce is in force although the announcing peer does
// not deliver it.
#include "io/udp_socket.hpp"
#include "peer/codec.hpp"
#include "test/platform/node_fixture.hpp"
#include <skylark/core/hash.hpp>

using namespace skylark;
using skylark::test::configuration;
using skylark::test::own_address;

namespace {

// A configuration with further routes, "/0/" and on.
std::string with_routes(const std::string& version, int count) {
    std::string out = configuration;
    out.replace(out.find("00000007"), version.size(), version);
    const std::string rows = "\"rows\":[";
    std::string added;
    for (int i = 0; i < count; ++i)
        added += R"(["r-)" + std::to_string(i) + R"(","h.example","/)" +
                 std::to_string(i) + R"(/","safe",1000,"stock",2],)";
    out.insert(out.find(rows) + rows.size(), added);
    return out;
}

// The relay of the zone: announces a version and takes connections, but sends
// nothing on them.
class silent_relay {
public:
    silent_relay(io::event_loop& loop, std::uint64_t id)
        : m_loop{loop}, m_id{id}, m_socket{loop}, m_control{loop, {}} {
        m_control.set_handlers(
            {[](exchange_id, const io::request_view&) {}, {}, {}, {}});
        m_contact.m_peer = own_address();
        m_contact.m_control = m_control.listen(own_address()).value();
        m_contact.m_zone = hash("a");
        m_contact.m_capacity = 1000; // ranks first
        m_socket.bind(m_contact.m_peer, [](address, auto) {}).value();
    }

    /*! @brief Sends heartbeats from now on, without reports.
     *  @param to heartbeat address of the entry under test */
    void start(address to) {
        m_loop.every(milliseconds{100}, [this, to] {
            heartbeat out;
            out.m_sender = {{m_id, 1}, m_contact};
            out.m_state = member_state::active;
            out.m_config = m_mark;
            m_socket.send(to, peer::encode(out));
        });
    }

    config_mark m_mark;

private:
    io::event_loop& m_loop;
    entry_id m_id;
    io::udp_socket m_socket;
    io::http_server m_control;
    member_contact m_contact;
};

class late_configuration : public test::platform_node {
protected:
    bool turn_for(duration time, const std::function<bool()>& reached) {
        const time_point end = io::event_loop::now() + time;
        while (!reached() && io::event_loop::now() < end)
            m_loop.run_once(milliseconds{1});
        return reached();
    }

    static constexpr auto far_beyond_the_bound = seconds{10};
};

} // namespace

TEST_F(late_configuration, a_silent_relay_keeps_no_confirmed_version_back) {
    std::array<silent_relay, 2> relays{{{m_loop, 77}, {m_loop, 78}}};
    const auto mark = [&](std::uint64_t version) {
        for (silent_relay& item : relays) {
            item.m_mark.m_version = version;
            item.m_mark.m_revision = {m_store.revision(), m_store.era()};
        }
    };
    start_with_upstreams();
    mark(7);
    for (silent_relay& item : relays)
        item.start(m_settings.m_peer);
    // The relays watch for the zone from now on.
    turn_for(seconds{3}, [] { return false; });
    m_store.put("op/config", with_routes("00000008", 1));
    mark(8);
    EXPECT_TRUE(turn_for(far_beyond_the_bound,
                         [this] { return status(ask("/0/x")) == 200; }));
}

TEST_F(late_configuration, what_the_store_holds_at_most_reaches_a_peer) {
    constexpr int routes = 16'000; // nearly a megabyte in the store
    const std::string largest = with_routes("00000008", routes);
    ASSERT_LE(largest.size(), defaults::document_bytes);
    ASSERT_GE(largest.size(), defaults::document_bytes * 3 / 4);
    m_store.put("op/config", largest);
    start();
    turn_until([this] {
        return status(get(*m_settings.m_ready, "/readiness")) == 200;
    });
    // The other entry does not reach the store.
    standin::kv_store unreachable{m_loop};
    standin::kv_faults faults;
    faults.m_silent = true;
    unreachable.set_faults(faults);
    entry::settings other = m_settings;
    other.m_name = "e2";
    other.m_platform = unreachable.listen({test::loopback, 0}).value();
    other.m_seeds = {m_settings.m_peer};
    for (address* where : {&other.m_callers, &other.m_control, &other.m_peer})
        *where = own_address();
    other.m_lookup = own_address();
    other.m_ready = own_address();
    entry::node second{m_loop, other};
    ASSERT_TRUE(second.start());
    EXPECT_TRUE(turn_for(far_beyond_the_bound, [&] {
        return status(get(*other.m_ready, "/readiness")) == 200;
    }));
}
