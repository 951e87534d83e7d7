// The stand-in for the metadata store when it returns from a copy.
#include "standin/kv_store.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "io/fetcher.hpp"

using namespace skylark;
using nlohmann::json;

namespace {

struct answer {
    int m_status{};
    std::string m_era;
    json m_body;
};

class kv_store_test : public testing::Test {
protected:
    kv_store_test()
        : m_store{m_loop}, m_where{m_store.listen({0x7f000001U, 0}).value()},
          m_fetcher{m_loop, std::size_t{1} << 20U} {}

    void run_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 20000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    void start(const std::string& method, const std::string& path,
               const std::string& body, std::optional<answer>& to) {
        io::fetch_request request;
        request.m_to = m_where;
        request.m_method = method;
        request.m_path = path;
        request.m_body = body;
        request.m_timeout = seconds{10};
        m_fetcher.run(request, [&to](const io::fetch_result& result) {
            to.emplace();
            if (const auto* got = std::get_if<io::fetch_answer>(&result))
                to = answer{got->m_status,
                            std::string{got->header_value("store-era")},
                            json::parse(got->m_body, nullptr, false)};
        });
    }

    answer call(const std::string& method, const std::string& path,
                const std::string& body = "") {
        std::optional<answer> got;
        start(method, path, body, got);
        run_until([&] { return got.has_value(); });
        return got.value_or(answer{});
    }

    answer watch(std::uint64_t after, int wait_ms = 0) {
        return call("GET", watch_path(after, wait_ms));
    }

    static std::string watch_path(std::uint64_t after, int wait_ms) {
        return "/kv-watch?prefix=&after=" + std::to_string(after) +
               "&wait_ms=" + std::to_string(wait_ms);
    }

    std::uint64_t take_lease() {
        return call("POST", "/kv-lease", R"({"ttl_ms":60000})")
            .m_body.value("lease", std::uint64_t{0});
    }

    io::event_loop m_loop;
    standin::kv_store m_store;
    address m_where;
    io::fetcher m_fetcher;
};

} // namespace

TEST_F(kv_store_test, all_answers_tell_the_era) {
    EXPECT_EQ(call("GET", "/kv-range?prefix=").m_era, "1");
    m_store.save_copy();
    ASSERT_TRUE(m_store.restore_copy());
    EXPECT_EQ(call("GET", "/kv-range?prefix=").m_era, "2");
    EXPECT_EQ(call("POST", "/kv-txn", "?").m_era, "2");
    EXPECT_EQ(call("POST", "/kv-keep/9").m_era, "2");
    EXPECT_EQ(call("POST", "/kv-lease", "{}").m_era, "2");
    EXPECT_EQ(watch(99).m_era, "2");
    for (const bool limiting : {true, false}) {
        standin::kv_faults faults;
        faults.m_limiting = limiting;
        faults.m_refusing = !limiting;
        m_store.set_faults(faults);
        EXPECT_EQ(call("GET", "/kv-range?prefix=").m_era, "2");
    }
}

TEST_F(kv_store_test, a_copy_brings_items_and_revisions_back) {
    m_store.put("op/config", "old");
    const auto copied = m_store.revision();
    m_store.save_copy();
    m_store.put("op/config", "new");
    m_store.put("op/evacuate/a", "{}");
    ASSERT_TRUE(m_store.restore_copy());
    EXPECT_EQ(m_store.revision(), copied);
    EXPECT_FALSE(m_store.has("op/evacuate/a"));
    m_store.put("op/config", "newest");
    const answer listed = call("GET", "/kv-range?prefix=");
    ASSERT_EQ(listed.m_body["items"].size(), 1U);
    EXPECT_EQ(listed.m_body["items"][0]["revision"], copied + 1);
    EXPECT_EQ(listed.m_body["current_rev"], copied + 1);
}

TEST_F(kv_store_test, a_watch_from_a_revision_not_in_the_copy_gets_410) {
    m_store.put("a", "1");
    const auto copied = m_store.revision();
    m_store.save_copy();
    m_store.put("a", "2");
    const auto lost = m_store.revision();
    ASSERT_TRUE(m_store.restore_copy());
    EXPECT_EQ(watch(lost).m_status, 410);
    EXPECT_EQ(watch(copied - 1).m_status, 410);
    EXPECT_EQ(watch(copied).m_status, 200);
    m_store.put("b", "3");
    EXPECT_EQ(watch(copied).m_body["events"].size(), 1U);
    EXPECT_EQ(watch(lost).m_status, 200);
}

TEST_F(kv_store_test, waiting_watches_are_cut) {
    m_store.save_copy();
    std::optional<answer> got;
    const auto before = m_store.calls();
    start("GET", watch_path(m_store.revision(), 9000), "", got);
    run_until([&] { return m_store.calls() > before; });
    ASSERT_TRUE(m_store.restore_copy());
    run_until([&] { return got.has_value(); });
    EXPECT_EQ(got->m_status, 410);
    EXPECT_EQ(got->m_era, "2");
}

TEST_F(kv_store_test, leases_end_with_their_keys_and_ids_are_given_out_again) {
    const auto first = take_lease();
    const json write{
        {"writes", {{{"key", "skylark/e"}, {"value", ""}, {"lease", first}}}}};
    ASSERT_EQ(call("POST", "/kv-txn", write.dump()).m_status, 200);
    m_store.save_copy();
    const auto second = take_lease();
    ASSERT_TRUE(m_store.restore_copy());
    EXPECT_FALSE(m_store.has("skylark/e"));
    const auto keep = [this](std::uint64_t lease) {
        return call("POST", "/kv-keep/" + std::to_string(lease)).m_status;
    };
    EXPECT_EQ(keep(first), 404);
    EXPECT_EQ(keep(second), 404);
    EXPECT_EQ(take_lease(), second);
    EXPECT_EQ(keep(second), 200);
}

TEST_F(kv_store_test, the_newest_copy_of_an_age_is_taken) {
    EXPECT_FALSE(m_store.restore_copy());
    m_store.put("a", "1");
    m_store.save_copy();
    const time_point saved = io::event_loop::now();
    run_until(
        [&] { return io::event_loop::now() > saved + milliseconds{500}; });
    m_store.put("b", "2");
    m_store.save_copy();
    EXPECT_FALSE(m_store.restore_copy(seconds{9}));
    EXPECT_EQ(m_store.era(), 1U);
    ASSERT_TRUE(m_store.restore_copy(io::event_loop::now() - saved));
    EXPECT_TRUE(m_store.has("a"));
    EXPECT_FALSE(m_store.has("b"));
}
