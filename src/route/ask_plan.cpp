// Ask plan: whom to ask, and who takes the request.
#include <skylark/route/ask_plan.hpp>

#include <algorithm>
#include <tuple>

namespace skylark {

namespace {

// Upstreams with this many waiting requests for each slot are taken as full.
// Some never answer a request that does not fit into their queue; the shortest
// one known holds twice as many.
constexpr std::uint32_t queue_per_slot = 1;
// A request that finds so many full is refused: further questions would use
// up the budget when it is needed most.
constexpr std::size_t most_full = 2 * most_questions;
// Below this expected time a near upstream is good enough.
constexpr double good_enough = 1.7;
// A far answer crosses zones twice and its bytes are paid for.
constexpr double far_penalty = 0.25;
// Some upstreams slow down when nearly all their slots are at work; up to this
// part of them they do not.
constexpr double uncrowded = 0.7;
// Less than this is no reason to leave a slot free.
constexpr double harmless_crowding = 0.2;
// With a third of the upstreams slow, all of five are once in 240 requests, and
// others are asked then. Each entry opens as many to each service.
constexpr std::ptrdiff_t enough_held = 5;
// So many idle ones are asked without opening another connection.
constexpr std::size_t enough_idle = 2;
// With so many connected, one request in this many looks at another one. Each
// look opens a connection, and slowness moves on sooner than it would be used
// again.
constexpr std::uint32_t explore_one_in = 16;
// While there are newcomers, which would get nothing otherwise.
constexpr std::uint32_t meet_one_in = 4;

double cost(const ask_candidate& of, const ask_terms& terms) {
    const double penalty = of.m_near ? 0.0 : far_penalty;
    return expected_time(*of.m_report, terms.m_crowding) + penalty;
}

const ask_candidate* best_known(std::span<const ask_candidate> from,
                                const ask_terms& terms, random_source& random) {
    const ask_candidate* best = nullptr;
    double least = 0.0;
    std::uint32_t equals = 0;
    for (const ask_candidate& item : from) {
        if (!item.m_report || !has_room(*item.m_report, terms))
            continue;
        const double costs = cost(item, terms);
        if (best && costs > least)
            continue;
        equals = best && costs == least ? equals + 1 : 1;
        if (equals > 1 && random(equals) != 0)
            continue;
        best = &item;
        least = costs;
    }
    return best;
}

// A queue does not empty between two requests of one entry, so asking again at
// once tells nothing new.
bool was_full(const ask_candidate& of, const ask_terms& terms) {
    return of.m_recent && !has_room(*of.m_recent, terms);
}

// Those that failed lately go last. Open connections are preferred; while there
// are few, and now and then, the first is one without, so that a new upstream
// is found soon.
std::vector<upstream_id> pick(std::span<const ask_candidate> from, bool near,
                              const ask_terms& terms, random_source& random) {
    struct ranked {
        bool m_suspect;
        bool m_unconnected;
        bool m_held;
        bool m_known;
        std::uint32_t m_chance;
        upstream_id m_upstream;
    };
    std::vector<ranked> list;
    for (const ask_candidate& item : from)
        if (item.m_near == near && !item.m_asked && !item.m_report &&
            !was_full(item, terms))
            list.push_back({item.m_suspect, !item.m_connected, item.m_held,
                            !item.m_newcomer, random(), item.m_upstream});
    const auto by_chance = [](const ranked& left, const ranked& right) {
        return std::tuple{left.m_suspect, left.m_known, left.m_held,
                          left.m_chance} <
               std::tuple{right.m_suspect, right.m_known, right.m_held,
                          right.m_chance};
    };
    const auto by_cost = [](const ranked& left, const ranked& right) {
        return std::tuple{left.m_suspect, left.m_unconnected, left.m_chance} <
               std::tuple{right.m_suspect, right.m_unconnected, right.m_chance};
    };
    std::vector<upstream_id> out;
    std::size_t count =
        std::min({list.size(), terms.m_questions, most_questions});
    if (count == 0)
        return out;
    const auto sound = [&list](bool ranked::*which, bool wanted) {
        return std::count_if(list.begin(), list.end(), [&](const ranked& item) {
            return !item.m_suspect && item.*which == wanted;
        });
    };
    const bool newcomers = sound(&ranked::m_known, false) > 0;
    const bool explores = sound(&ranked::m_held, true) < enough_held ||
                          random(newcomers ? meet_one_in : explore_one_in) == 0;
    if (explores)
        std::iter_swap(list.begin(),
                       std::min_element(list.begin(), list.end(), by_chance));
    std::sort(list.begin() + (explores ? 1 : 0), list.end(), by_cost);
    const auto idle =
        static_cast<std::size_t>(sound(&ranked::m_unconnected, false));
    if (!explores && idle >= enough_idle)
        count = std::min(count, idle);
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(list[i].m_upstream);
    return out;
}

ask_step better_of_two(std::span<const ask_candidate> from,
                       const ask_terms& terms, random_source& random) {
    const ask_candidate* best = nullptr;
    for (int i = 0; i < 2 && !from.empty(); ++i) {
        const auto index = random(static_cast<std::uint32_t>(from.size()));
        const ask_candidate& item = from[index];
        if (!was_full(item, terms) && !item.m_asked &&
            (!best || item.m_in_flight < best->m_in_flight))
            best = &item;
    }
    if (!best)
        return nobody_free{};
    return send_to_upstream{best->m_upstream};
}

} // namespace

double expected_time(const load_report& of, double crowding) {
    const double slots = std::max(1U, of.m_slots);
    const double slowness =
        of.m_slowness / static_cast<double>(nominal_slowness);
    const double busy = std::min(1.0, (of.m_used + 1.0) / slots);
    const double crowd = std::max(0.0, busy - uncrowded) / (1.0 - uncrowded);
    const double ahead =
        static_cast<double>(of.m_used) + of.m_queue + 1.0 - slots;
    const double wait = std::max(0.0, ahead) / slots;
    return slowness * (1.0 + wait + crowd * crowding);
}

bool crowds(const load_report& of) {
    return of.m_used + 1.0 > uncrowded * of.m_slots;
}

bool has_room(const load_report& of, const ask_terms& terms) {
    const bool free = of.m_used < of.m_slots && of.m_queue == 0;
    const bool slows = terms.m_crowding > harmless_crowding && crowds(of);
    if (free && !slows)
        return true;
    return expected_time(of, terms.m_crowding) <= terms.m_in_time &&
           of.m_queue < queue_per_slot * std::max(1U, of.m_slots);
}

ask_step plan_ask(std::span<const ask_candidate> from, const ask_terms& terms,
                  random_source& random) {
    const bool waits =
        std::any_of(from.begin(), from.end(),
                    [](const ask_candidate& item) { return item.m_pending; });
    if (waits && terms.m_patient)
        return await_answers{};
    const ask_candidate* best = best_known(from, terms, random);
    if (best && cost(*best, terms) < good_enough)
        return send_to_upstream{best->m_upstream};
    const auto count = [&](const auto& which) {
        return static_cast<std::size_t>(
            std::count_if(from.begin(), from.end(), which));
    };
    const std::size_t asked =
        count([](const ask_candidate& item) { return item.m_asked; });
    const std::size_t full = count([&](const ask_candidate& item) {
        return item.m_asked && item.m_report &&
               !has_room(*item.m_report, terms);
    });
    const bool may_ask = full < most_full;
    for (const bool near : {true, false}) {
        if (!may_ask)
            break;
        auto whom = pick(from, near, terms, random);
        if (!whom.empty())
            return ask_upstreams{std::move(whom)};
    }
    if (best)
        return send_to_upstream{best->m_upstream};
    if (waits)
        return await_answers{};
    if (terms.m_questions == 0 && asked == 0)
        return better_of_two(from, terms, random);
    return nobody_free{};
}

} // namespace skylark
