// JSON form of teams. Errors never contain a value that may be a key.
#include "config/team_json.hpp"

#include "config/json_reader.hpp"

namespace skylark::internal {

using nlohmann::json;

static parsed<std::string> read_digest(const json& from,
                                       const std::string& place) {
    if (!from.is_string())
        return input_error{place, hidden_excerpt(from), "a string"};
    return from.get<std::string>();
}

parsed<team> read_team(const json& from, const std::string& place) {
    // Operators may put a key where another field belongs.
    json_reader reader{from, place, value_display::hidden};
    team out;
    reader.read("name", out.m_name);
    reader.read_list("key_digests", out.m_key_digests, read_digest);
    reader.read("rank", out.m_rank);
    reader.read("rate_per_s", out.m_rate_per_s);
    reader.read("burst", out.m_burst);
    if (auto error = reader.finish())
        return *std::move(error);
    return out;
}

json write(const team& from) {
    return {{"name", from.m_name},
            {"key_digests", from.m_key_digests},
            {"rank", from.m_rank},
            {"rate_per_s", from.m_rate_per_s},
            {"burst", from.m_burst}};
}

} // namespace skylark::internal
