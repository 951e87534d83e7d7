// Odd bytes, one after the other, for every decoder of what others write. More
// rounds: SKYLARK_ODD_ROUNDS=100000 skylark_test --gtest_filter=odd_records*
#include <cstdlib>
#include <functional>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <skylark/command/parse.hpp>
#include <skylark/config/document.hpp>
#include <skylark/core/random.hpp>

#include "core/foreign_text.hpp"
#include "peer/codec.hpp"
#include "platform/kv_protocol.hpp"
#include "platform/records.hpp"
#include "store/base64.hpp"
#include "store/consul_protocol.hpp"
#include "test/platform/odd_values.hpp"

using namespace skylark;

namespace {

std::size_t rounds() {
    constexpr std::size_t usual = 1500;
    const char* text = std::getenv("SKYLARK_ODD_ROUNDS");
    return text ? std::strtoul(text, nullptr, 10) : usual;
}

const std::string configuration =
    R"({"version":"00000007","routes":{"columns":["name","host","prefix",)"
    R"("kind","timeout_ms","priority","split","max_attempts","service"],)"
    R"("rows":[["r1","h","/a/","safe",1000,1,null,2,"stock"],["r2","h","/b/",)"
    R"("unsafe",1000,2,[{"service":"stock","weight":9}],2,null]]},"services":)"
    R"({"columns":["name","health_path","max_conns"],"rows":[["stock","/h",9)"
    R"(]]},"limits":{"max_header_bytes":16384,"idle_timeout_ms":15000}})";

const std::string server = test::odd_record("5", "5");

// Spoils a text at some places, mostly where JSON is sensitive.
std::string spoilt(std::string text, random_source& random) {
    static const std::vector<std::string> pieces{"\xff",
                                                 "\xc3",
                                                 "\"",
                                                 "\\",
                                                 "[",
                                                 "{",
                                                 "]",
                                                 "}",
                                                 ",",
                                                 ":",
                                                 "null",
                                                 "true",
                                                 "1e999",
                                                 "1e30",
                                                 "-1",
                                                 "0.5",
                                                 "\n",
                                                 "=",
                                                 " ",
                                                 "99999999999999999999",
                                                 "65536",
                                                 "[[[[7]]]]",
                                                 std::string(1, '\0'),
                                                 "\"x\"",
                                                 "{\"a\":{}}",
                                                 "18446744073709551615"};
    const std::size_t changes = 1 + random(3);
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random(static_cast<std::uint32_t>(text.size()));
        const std::size_t end =
            std::min<std::size_t>(text.size() - at, random(8));
        switch (random(4)) {
        case 0:
            text[at] = static_cast<char>(random(256));
            break;
        case 1:
            text.replace(
                at, end,
                pieces[random(static_cast<std::uint32_t>(pieces.size()))]);
            break;
        case 2: { // a whole value
            const auto colon = text.find(':', at);
            if (colon == std::string::npos)
                break;
            const auto last = text.find_first_of(",}]", colon);
            text.replace(
                colon + 1, last - colon - 1,
                pieces[random(static_cast<std::uint32_t>(pieces.size()))]);
            break;
        }
        default:
            text.erase(at, random(2) == 0 ? end : std::string::npos);
        }
    }
    return text;
}

template <class Read>
void expect_clean(const Read& read, std::string_view input) {
    if (read)
        return;
    EXPECT_TRUE(is_utf8(read.error().text())) << input;
    EXPECT_LT(read.error().text().size(), 1000U) << input;
}

io::fetch_answer answer(std::string body) {
    return {200, {{"x-consul-index", "7"}}, std::move(body)};
}

std::vector<std::uint8_t> bytes_of(const std::string& text) {
    return {text.begin(), text.end()};
}

std::string text_of(const std::vector<std::uint8_t>& bytes) {
    return {bytes.begin(), bytes.end()};
}

nlohmann::json item(const std::string& key, std::uint64_t revision) {
    return {{"key", key},
            {"value", store::encode_base64(server)},
            {"revision", revision}};
}

void run(const std::string& valid,
         const std::function<void(const std::string&)>& decode) {
    random_source random{31};
    for (const std::string& text : test::odd_values())
        decode(text);
    for (std::size_t i = 0; i < rounds(); ++i) {
        const std::string text = spoilt(valid, random);
        try {
            decode(text);
        } catch (const std::exception& error) {
            FAIL() << error.what() << ": " << text;
        }
    }
}

const platform::deployment_terms terms{{"a", "b"}, 60};
const time_point now{seconds{100}};

} // namespace

TEST(odd_records, servers_and_configurations_are_read_or_refused) {
    run(server, [](const std::string& text) {
        const auto read = platform::read_upstream("i-1", text, now);
        expect_clean(read, text);
        if (read) {
            EXPECT_LT(read.value().m_cold_until, now + std::chrono::hours{300});
            EXPECT_TRUE(is_utf8(read.value().m_zone));
        }
    });
    run(configuration, [](const std::string& text) {
        const auto read = platform::read_configuration(text, terms, {});
        expect_clean(read, text);
        // What was taken can be handed to the peers.
        if (read) {
            EXPECT_TRUE(parse_document(format_document(read.value()))) << text;
        }
    });
}

TEST(odd_records, one_odd_item_leaves_the_others_of_an_answer) {
    const platform::kv_protocol protocol;
    const std::vector<std::string> odd{
        "7",
        "null",
        "[]",
        "{}",
        R"({"key":7})",
        R"({"key":"servers/o"})",
        R"({"key":"servers/o","revision":"7","value":""})",
        R"({"key":"servers/o","revision":-7,"value":""})",
        R"({"key":"servers/o","revision":18446744073709551615,"value":""})",
        R"({"key":"servers/o","revision":7})",
        R"({"key":"servers/o","revision":7,"value":17})",
        R"({"key":"servers/o","revision":7,"value":"?"})",
        R"({"key":"servers/o","revision":7,"value":"","deleted":7})"};
    for (const std::string& text : odd) {
        const std::string list = "[" + item("a", 3).dump() + "," + text + "," +
                                 item("z", 4).dump() + "]";
        const auto page = protocol.read_page(
            answer(R"({"items":)" + list + R"(,"current_rev":9})"));
        ASSERT_TRUE(page) << page.error().text();
        const auto changes = protocol.read_changes(
            answer(R"({"events":)" + list + R"(,"current_rev":9})"));
        ASSERT_TRUE(changes) << changes.error().text();
        const auto& watched =
            std::get<store::record_changes>(changes.value()).m_records;
        const auto& listed = page.value().m_records;
        for (const auto& records : {listed, watched}) {
            ASSERT_GE(records.size(), 2U) << text;
            EXPECT_EQ(records.front().m_value, server);
            EXPECT_EQ(records.back().m_value, server);
            // What the key held before is over.
            const bool named = text.find("servers/o") != std::string::npos;
            ASSERT_EQ(records.size(), named ? 3U : 2U) << text;
            EXPECT_TRUE(records[1].m_value.empty() || !named);
            EXPECT_LE(records[1].m_revision, 9U);
        }
        EXPECT_EQ(page.value().m_odd.size(), 1U) << text;
    }
}

TEST(odd_records, answers_of_the_store_are_read_or_refused) {
    const platform::kv_protocol protocol;
    const nlohmann::json items = {item("op/config", 3), item("servers/i", 4)};
    run(nlohmann::json{{"items", items},
                       {"truncated", true},
                       {"current_rev", 9}}
            .dump(),
        [&](const std::string& text) {
            expect_clean(protocol.read_page(answer(text)), text);
        });
    run(nlohmann::json{{"events", items}, {"current_rev", 9}}.dump(),
        [&](const std::string& text) {
            expect_clean(protocol.read_changes(answer(text)), text);
        });
    run(R"({"lease":7,"ttl_ms":3000})", [&](const std::string& text) {
        expect_clean(protocol.read_lease(answer(text)), text);
    });
    run(store::encode_base64(server), [&](const std::string& text) {
        try {
            const std::string bytes = store::decode_base64(text);
            EXPECT_LE(bytes.size(), text.size());
        } catch (const std::invalid_argument&) {
        }
    });
}

TEST(odd_records, one_odd_instance_leaves_the_others_of_the_catalogue) {
    const std::string good =
        R"({"ServiceID":"a","ServiceAddress":"127.0.0.1","ServicePort":80,)"
        R"("ServiceMeta":{"role":"upstream","service":"s","zone":"z"}})";
    for (const char* port : {"65536", "-1", "1e30", "99999999999999999999",
                             "\"x\"", "null", "[[7]]"}) {
        std::string odd = good;
        odd.replace(odd.find("80"), 2, port);
        std::size_t told = 0;
        const auto read =
            store::parse_instances("[" + good + "," + odd + "," + good + "]", 5,
                                   [&](const input_error&) { ++told; });
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value().m_instances.size(), 2U) << port;
        EXPECT_EQ(told, 1U) << port;
    }
    run("[" + good + "]", [](const std::string& text) {
        expect_clean(store::parse_instances(text, 5), text);
    });
}

TEST(odd_records, messages_of_peers_are_read_or_refused) {
    heartbeat message;
    message.m_sender.m_name = {entry_id{5}, 12};
    message.m_silent = {{{entry_id{8}, 9}, seconds{2}}};
    message.m_members = {{{entry_id{10}, 11}, {}}};
    message.m_loads = {{upstream_id{12}, {}, milliseconds{14}}};
    run(text_of(peer::encode(message)), [](const std::string& text) {
        const auto read = peer::decode(bytes_of(text));
        expect_clean(read, "");
        if (read) {
            EXPECT_GE(read.value().m_config.m_confirmed_age, duration{0});
        }
    });
    instance_changes changes;
    changes.m_index = 7;
    changes.m_present = {{"i", instance_role::upstream, {1, 80}, "s", "z"}};
    changes.m_removed = {{instance_role::upstream, "j"}};
    run(text_of(peer::encode(changes, now)), [](const std::string& text) {
        expect_clean(peer::decode_changes(bytes_of(text), now), "");
    });
}

TEST(odd_records, documents_and_statements_are_read_or_refused) {
    const auto valid = platform::read_configuration(configuration, terms, {});
    ASSERT_TRUE(valid) << valid.error().text();
    run(format_document(valid.value()), [](const std::string& text) {
        const auto read = parse_document(text);
        expect_clean(read, text);
        if (read) {
            EXPECT_TRUE(parse_document(format_document(read.value()))) << text;
        }
    });
    for (const char* statement :
         {"show upstreams where zone = a and state != warm",
          "explain request GET /a/ with Host = h",
          "create service s slots 4 policy weighted", "drain zone a force"})
        run(statement, [](const std::string& text) {
            expect_clean(parse_statement(text), text);
        });
}
