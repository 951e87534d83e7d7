// Odd values that another writer may leave among the servers' records.
#ifndef TEST_PLATFORM_ODD_VALUES_HPP
#define TEST_PLATFORM_ODD_VALUES_HPP

#include <string>
#include <vector>

namespace skylark::test {

inline std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

// A server's record in which one text takes the place of another.
inline std::string odd_record(const std::string& from, const std::string& to) {
    std::string text =
        R"({"address":"127.0.0.1:9","born":5,"info":{"service":"stock",)"
        R"("zone":"a","slots":6},"status":{"state":"ready","seq_no":4,)"
        R"("warmup_left_ms":1500}})";
    return text.replace(text.find(from), from.size(), to);
}

// None of these names a server.
inline std::vector<std::string> odd_values() {
    constexpr std::size_t deep = 100'000;
    std::string objects;
    for (std::size_t i = 0; i < deep; ++i)
        objects += R"({"a":)";
    return {nested(deep),
            objects,
            objects + "1" + std::string(deep, '}'),
            std::string(deep, '['),
            odd_record("6", nested(deep)),
            odd_record("\"127.0.0.1:9\"", nested(deep)),
            odd_record("\"ready\"", nested(deep)),
            odd_record("1500", "1e400"),
            odd_record("1500", "1e300"),
            odd_record("1500", "9223372036854775807"),
            odd_record("1500", "9200000000000000"),
            odd_record("1500", "NaN"),
            odd_record("1500", "null"),
            odd_record("1500", "true"),
            odd_record(":5", ":99999999999999999999999"),
            odd_record(":5", ":1e30"),
            odd_record(":5", ":-5"),
            odd_record(":5", ":5.5"),
            odd_record(":5", ":null"),
            odd_record(":9", ":65536"),
            odd_record(":9", ":99999999999999999999"),
            odd_record(":9", ":-1"),
            odd_record(":9", ":0"),
            odd_record(":9", ":"),
            odd_record("127.0.0.1:9", "127.0.0.256:9"),
            odd_record("127.0.0.1:9", "server:9"),
            odd_record("127.0.0.1:9", "127.0.0.1:9\\n"),
            odd_record("127.0.0.1:9", "\\u0000"),
            odd_record("\"127.0.0.1:9\"", "9"),
            "\xff\xfe\x80{",
            odd_record("\"a\"", "\"\xff\""),
            odd_record("\"a\"", "\"\\ud800\""),
            odd_record("\"a\"", "[\"a\"]"),
            odd_record("{\"service\"", "[7],\"i\":{\"service\""),
            odd_record("\"ready\"", "\"" + std::string(100'000, 'x') + "\""),
            std::string(3, '\0'),
            "\xef\xbb\xbf",
            "",
            "17",
            "\"text\"",
            "null"};
}

} // namespace skylark::test

#endif
