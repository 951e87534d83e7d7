// Open-loop callers: which entries they know, and which one a call tries.
#include <utility>

#include <nlohmann/json.hpp>

#include "io/http_status.hpp"
#include "standin/load.hpp"

namespace standin {

using namespace skylark;

namespace {
constexpr auto ask_again = milliseconds{200};
} // namespace

void load::ask(std::size_t which) {
    caller& of = m_callers[which];
    if (of.m_asking)
        return;
    of.m_asking = true;
    std::vector<address> known = of.m_near;
    known.insert(known.end(), of.m_far.begin(), of.m_far.end());
    io::fetch_request request;
    request.m_to = known[of.m_next++ % known.size()];
    request.m_path = "/entries?zone=" + of.m_zone;
    m_fetcher.run(request, [this, which](const io::fetch_result& got) {
        m_callers[which].m_asking = false;
        const auto* answer = std::get_if<io::fetch_answer>(&got);
        if (answer && answer->m_status == io::status::ok)
            take_entries(which, answer->m_body);
        else
            m_loop.after(ask_again, [this, which] { ask(which); });
    });
}

void load::take_entries(std::size_t which, const std::string& body) {
    caller& of = m_callers[which];
    const auto tree = nlohmann::json::parse(body);
    std::vector<address> near;
    std::vector<address> far;
    for (const auto& item : tree.at("entries")) {
        const auto where =
            parse_address(item.at("address").get<std::string>(), "entries");
        auto& list = item.at("zone") == of.m_zone ? near : far;
        list.push_back(where.value());
    }
    if (near.empty())
        std::swap(near, far);
    of.m_near = near;
    of.m_far = far;
    const milliseconds ttl{tree.at("ttl_ms").get<std::int64_t>()};
    of.m_expires = io::event_loop::now() + ttl;
    m_loop.after(ttl / 2, [this, which] { ask(which); });
}

// Near entries first, each call at the next one.
bool load::choose_entry(call& of) {
    if (const auto hint = parse_address(of.m_hint, "Try-Entry")) {
        of.m_entry = hint.value();
        of.m_hint.clear();
        return true;
    }
    caller& from = m_callers[of.m_caller];
    const auto& list =
        of.m_tries > 1 && !from.m_far.empty() ? from.m_far : from.m_near;
    if (list.empty())
        return false;
    of.m_entry = list[from.m_next++ % list.size()];
    return true;
}

} // namespace standin
