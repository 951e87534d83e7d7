// Consul's public key-value and catalogue API over HTTP.
#include "store/consul_protocol.hpp"
#include "core/foreign_text.hpp"
#include "core/json_text.hpp"
#include "core/parse_number.hpp"
#include "io/http_status.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace skylark::store {

namespace {

using nlohmann::json;

// Time for the answer after the wait of a blocking read has ended.
constexpr auto answer_margin = seconds{1};

std::string blocking_query(std::uint64_t index, duration wait) {
    if (index == 0)
        return {};
    return "index=" + std::to_string(index) +
           "&wait=" + std::to_string(to_ms(wait)) + "ms";
}

parsed<std::uint64_t> read_index(const io::fetch_answer& answer) {
    const auto text = answer.header_value("X-Consul-Index");
    const std::uint64_t index = parse_number<std::uint64_t>(text).value_or(0);
    if (index == 0)
        return input_error{"platform, header X-Consul-Index",
                           '"' + std::string{text} + '"', "a number from 1 up"};
    return index;
}

input_error wrong_status(const io::fetch_answer& answer) {
    return {"platform, status", std::to_string(answer.m_status), "200"};
}

parsed<instance> read_instance(const json& from, const std::string& place) {
    const json& meta = from.at("ServiceMeta");
    const std::string where = from.at("ServiceAddress").get<std::string>() +
                              ":" + json_excerpt(from.at("ServicePort"));
    instance out;
    out.m_id = from.at("ServiceID").get<std::string>();
    BOOST_OUTCOME_TRY(reached, parse_address(where, place));
    out.m_address = reached;
    out.m_role = meta.at("role").get<std::string>() == "entry"
                     ? instance_role::entry
                     : instance_role::upstream;
    out.m_service = meta.value("service", "");
    out.m_zone = meta.value("zone", "");
    out.m_leaving = meta.value("state", "live") == "leaving";
    return out;
}

parsed<instance> read_placed(const json& from, const std::string& place) {
    constexpr std::size_t longest = 300; // bytes
    try {
        return read_instance(from, place);
    } catch (const std::exception& error) {
        return input_error{place, clean_text(error.what(), longest),
                           "an instance of the catalogue"};
    }
}

} // namespace

io::fetch_request consul_protocol::get(std::string_view key,
                                       std::uint64_t index,
                                       duration wait) const {
    io::fetch_request out;
    out.m_path =
        "/v1/kv/" + std::string{key} + "?raw&" + blocking_query(index, wait);
    out.m_timeout = wait + answer_margin;
    return out;
}

io::fetch_request consul_protocol::swap(std::string_view key,
                                        std::uint64_t revision,
                                        std::string text) const {
    io::fetch_request out;
    out.m_method = "PUT";
    out.m_path =
        "/v1/kv/" + std::string{key} + "?cas=" + std::to_string(revision);
    out.m_body = std::move(text);
    return out;
}

io::fetch_request consul_protocol::instances(std::uint64_t index,
                                             duration wait) const {
    io::fetch_request out;
    out.m_path = "/v1/catalog/service/skylark?" + blocking_query(index, wait);
    out.m_timeout = wait + answer_margin;
    return out;
}

parsed<stored_value>
consul_protocol::read_value(const io::fetch_answer& answer) const {
    if (answer.m_status == io::status::not_found)
        return stored_value{};
    if (answer.m_status != io::status::ok)
        return wrong_status(answer);
    BOOST_OUTCOME_TRY(index, read_index(answer));
    return stored_value{index, answer.m_body};
}

parsed<bool> consul_protocol::read_swap(const io::fetch_answer& answer) const {
    if (answer.m_status != io::status::ok)
        return wrong_status(answer);
    if (answer.m_body.starts_with("true"))
        return true;
    if (answer.m_body.starts_with("false"))
        return false;
    return input_error{"platform, swap", '"' + answer.m_body + '"',
                       "true or false"};
}

parsed<instance_list>
consul_protocol::read_instances(const io::fetch_answer& answer,
                                const odd_handler& on_odd) const {
    if (answer.m_status != io::status::ok)
        return wrong_status(answer);
    BOOST_OUTCOME_TRY(index, read_index(answer));
    return parse_instances(answer.m_body, index, on_odd);
}

parsed<instance_list> parse_instances(std::string_view text,
                                      std::uint64_t index,
                                      const odd_handler& on_odd) {
    instance_list out;
    out.m_index = index;
    const std::string place = "platform, instance list";
    BOOST_OUTCOME_TRY(tree, parse_json(text, place));
    if (!tree.is_array())
        return input_error{place, json_excerpt(tree), "an array"};
    for (std::size_t i = 0; i < tree.size(); ++i) {
        const std::string at = place + '/' + std::to_string(i);
        auto read = read_placed(tree[i], at);
        if (read)
            out.m_instances.push_back(std::move(read).value());
        else if (on_odd)
            on_odd(read.error());
    }
    return out;
}

} // namespace skylark::store
