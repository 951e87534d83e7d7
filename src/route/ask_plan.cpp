// Ask plan: whom to ask, and who takes the request.
#include <skylark/route/ask_plan.hpp>

#include <algorithm>

namespace skylark {

namespace {

// Of three upstreams of which a third is slow, one in thirty is all slow.
constexpr std::size_t asked_at_once = 3;
// Upstreams with more waiting requests than this many times their slots are
// taken as full; it lies below the queue of any upstream seen.
constexpr std::uint32_t queue_per_slot = 2;
// Below this expected time a near upstream is good enough.
constexpr double good_enough = 1.7;
// A far answer crosses zones twice and its bytes are paid for.
constexpr double far_penalty = 0.25;
// An upstream with all slots at work slows down by about half.
constexpr double crowding = 0.5;

double cost(const ask_candidate& of) {
    const double penalty = of.m_near ? 0.0 : far_penalty;
    return expected_time(*of.m_report) + penalty;
}

const ask_candidate* best_known(std::span<const ask_candidate> from) {
    const ask_candidate* best = nullptr;
    for (const ask_candidate& item : from)
        if (item.m_report && has_room(*item.m_report) &&
            (!best || cost(item) < cost(*best)))
            best = &item;
    return best;
}

// Chance decides, so that a new upstream is found soon; those that failed
// lately go last.
std::vector<upstream_id> pick(std::span<const ask_candidate> from, bool near,
                              random_source& random) {
    struct ranked {
        std::uint32_t m_rank;
        std::uint32_t m_chance;
        upstream_id m_upstream;
    };
    std::vector<ranked> list;
    for (const ask_candidate& item : from) {
        if (item.m_near != near || item.m_asked || item.m_report)
            continue;
        const std::uint32_t suspect = item.m_suspect ? 1 : 0;
        list.push_back({suspect, random(), item.m_upstream});
    }
    std::sort(list.begin(), list.end(),
              [](const auto& left, const auto& right) {
                  return std::pair{left.m_rank, left.m_chance} <
                         std::pair{right.m_rank, right.m_chance};
              });
    std::vector<upstream_id> out;
    for (std::size_t i = 0; i < std::min(list.size(), asked_at_once); ++i)
        out.push_back(list[i].m_upstream);
    return out;
}

} // namespace

double expected_time(const load_report& of) {
    const double slots = std::max(1U, of.m_slots);
    const double slowness = of.m_slowness / static_cast<double>(usual_slowness);
    const double busy = std::min(1.0, of.m_used / slots);
    const double ahead =
        static_cast<double>(of.m_used) + of.m_queue + 1.0 - slots;
    const double wait = std::max(0.0, ahead) / slots;
    return slowness * (1.0 + wait + crowding * busy * busy);
}

bool has_room(const load_report& of) {
    return of.m_queue < queue_per_slot * std::max(1U, of.m_slots);
}

ask_step plan_ask(std::span<const ask_candidate> from, bool patient,
                  random_source& random) {
    const bool waits =
        std::any_of(from.begin(), from.end(),
                    [](const ask_candidate& item) { return item.m_pending; });
    if (waits && patient)
        return await_answers{};
    const ask_candidate* best = best_known(from);
    if (best && cost(*best) < good_enough)
        return send_to_upstream{best->m_upstream};
    for (const bool near : {true, false}) {
        auto whom = pick(from, near, random);
        if (!whom.empty())
            return ask_upstreams{std::move(whom)};
    }
    if (best)
        return send_to_upstream{best->m_upstream};
    if (waits)
        return await_answers{};
    return nobody_free{};
}

} // namespace skylark
