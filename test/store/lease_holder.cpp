// The key is there while the holder lives, through outages and lost leases.
#include "store/lease_holder.hpp"

#include <gtest/gtest.h>

#include "standin/kv_store.hpp"

using namespace skylark;

namespace {

class lease_holder_test : public testing::Test {
protected:
    static constexpr duration life{milliseconds{1500}};

    lease_holder_test()
        : m_store{m_loop}, m_where{m_store.listen({0x7f000001U, 0}).value()},
          m_holder{
              m_loop,
              m_where,
              "skylark/entries/e1",
              "127.0.0.1:1",
              life,
              [this](store::lease_event what) { m_events.push_back(what); }} {}

    void turn_until(const std::function<bool()>& reached) {
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

TEST_F(lease_holder_test, holds_its_key_beyond_one_life_of_the_lease) {
    m_holder.start();
    turn_until([this] { return listed(); });
    const time_point end = io::event_loop::now() + 2 * life;
    turn_until([&] { return io::event_loop::now() >= end; });
    EXPECT_TRUE(listed());
    EXPECT_EQ(m_events, std::vector{store::lease_event::held});
}

TEST_F(lease_holder_test, takes_its_key_along_when_it_stops) {
    m_holder.start();
    turn_until([this] { return m_holder.held(); });
    m_holder.stop();
    turn_until([this] { return !listed(); });
}

TEST_F(lease_holder_test, begins_anew_when_the_lease_has_ended) {
    m_holder.start();
    turn_until([this] { return m_holder.held(); });
    m_store.end_all_leases();
    EXPECT_FALSE(listed());
    turn_until([this] { return listed(); });
    turn_until([this] { return m_events.size() == 3U; });
    EXPECT_EQ(m_events[1], store::lease_event::lost);
}

TEST_F(lease_holder_test, an_outage_costs_few_calls) {
    m_holder.start();
    turn_until([this] { return m_holder.held(); });
    standin::kv_faults refusing;
    refusing.m_refusing = true;
    m_store.set_faults(refusing);
    const auto before = m_store.calls();
    const time_point end = io::event_loop::now() + seconds{5};
    turn_until([&] { return io::event_loop::now() >= end; });
    // One renewal, and a try every two seconds.
    EXPECT_LE(m_store.calls() - before, 4U);
    m_store.set_faults({});
    turn_until([this] { return listed(); });
}

TEST_F(lease_holder_test, goes_on_after_refused_and_lost_calls) {
    standin::kv_faults refusing;
    refusing.m_refusing = true;
    m_store.set_faults(refusing);
    m_holder.start();
    turn_until([this] { return !m_events.empty(); });
    EXPECT_EQ(m_events[0], store::lease_event::failed);
    standin::kv_faults losing;
    losing.m_losing = true;
    m_store.set_faults(losing);
    const auto before = m_store.calls();
    turn_until([&] { return m_store.calls() > before; });
    m_store.set_faults({});
    turn_until([this] { return listed(); });
}

TEST_F(lease_holder_test, begins_again_after_a_stop) {
    m_holder.start();
    turn_until([this] { return m_holder.held(); });
    m_holder.stop();
    EXPECT_FALSE(m_holder.held());
    m_holder.start();
    m_holder.start();
    turn_until([this] { return m_holder.held() && listed(); });
    // Let the first key end, if it was still there.
    const auto before = m_store.calls();
    const time_point end = io::event_loop::now() + life;
    turn_until([&] { return io::event_loop::now() >= end; });
    EXPECT_TRUE(listed());
    // Renewals of one holder, not of two.
    EXPECT_LE(m_store.calls() - before, 4U);
}
