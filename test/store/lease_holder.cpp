// The key stays in the store while the holder runs, through outages of the
// store and expired leases.
#include "store/lease_holder.hpp"

#include <gtest/gtest.h>

#include "standin/kv_store.hpp"

using namespace skylark;

namespace {

class lease_holder_test : public testing::Test {
protected:
    static constexpr duration ttl{milliseconds{1500}};

    lease_holder_test()
        : m_store{m_loop}, m_where{m_store.listen({0x7f000001U, 0}).value()},
          m_holder{
              m_loop,
              m_where,
              "skylark/entries/e1",
              "127.0.0.1:1",
              ttl,
              [this](store::lease_event what) { m_events.push_back(what); }} {}

    void run_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 20000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    bool listed() const { return m_store.has("skylark/entries/e1"); }

    io::event_loop m_loop;
    standin::kv_store m_store;
    address m_where;
    std::vector<store::lease_event> m_events;
    store::lease_holder m_holder;
};

} // namespace

TEST_F(lease_holder_test, renews_the_lease_before_it_expires) {
    m_holder.start();
    run_until([this] { return listed(); });
    const time_point end = io::event_loop::now() + 2 * ttl;
    run_until([&] { return io::event_loop::now() >= end; });
    EXPECT_TRUE(listed());
    EXPECT_EQ(m_events, std::vector{store::lease_event::held});
}

TEST_F(lease_holder_test, removes_the_key_on_stop) {
    m_holder.start();
    run_until([this] { return m_holder.held(); });
    m_holder.stop();
    run_until([this] { return !listed(); });
}

TEST_F(lease_holder_test, writes_the_key_again_after_the_lease_expired) {
    m_holder.start();
    run_until([this] { return m_holder.held(); });
    m_store.end_all_leases();
    EXPECT_FALSE(listed());
    run_until([this] { return listed(); });
    run_until([this] { return m_events.size() == 3U; });
    EXPECT_EQ(m_events[1], store::lease_event::lost);
}

TEST_F(lease_holder_test, makes_few_calls_during_an_outage) {
    m_holder.start();
    run_until([this] { return m_holder.held(); });
    standin::kv_faults refusing;
    refusing.m_refusing = true;
    m_store.set_faults(refusing);
    const auto before = m_store.calls();
    const time_point end = io::event_loop::now() + seconds{5};
    run_until([&] { return io::event_loop::now() >= end; });
    // One renewal, then one retry every two seconds.
    EXPECT_LE(m_store.calls() - before, 4U);
    m_store.set_faults({});
    run_until([this] { return listed(); });
}

TEST_F(lease_holder_test, recovers_from_refused_and_lost_calls) {
    standin::kv_faults refusing;
    refusing.m_refusing = true;
    m_store.set_faults(refusing);
    m_holder.start();
    run_until([this] { return !m_events.empty(); });
    EXPECT_EQ(m_events[0], store::lease_event::failed);
    standin::kv_faults losing;
    losing.m_losing = true;
    m_store.set_faults(losing);
    const auto before = m_store.calls();
    run_until([&] { return m_store.calls() > before; });
    m_store.set_faults({});
    run_until([this] { return listed(); });
}

TEST_F(lease_holder_test, restarts_after_a_stop) {
    m_holder.start();
    run_until([this] { return m_holder.held(); });
    m_holder.stop();
    EXPECT_FALSE(m_holder.held());
    m_holder.start();
    m_holder.start();
    run_until([this] { return m_holder.held() && listed(); });
    // Wait until the lease of the first run has expired, in case it was not
    // ended.
    const auto before = m_store.calls();
    const time_point end = io::event_loop::now() + ttl;
    run_until([&] { return io::event_loop::now() >= end; });
    EXPECT_TRUE(listed());
    // Only one run renews its lease.
    EXPECT_LE(m_store.calls() - before, 4U);
}
