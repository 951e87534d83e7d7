// Rate limits over whole fleets in virtual time. In any 5 s the requests of a
// team that run must stay within the tolerated number; most of a limit has to
// be usable. The figures are printed for docs/design/allowances.md.
#include <cmath>
#include <cstdio>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "test/allowance/fake_fleet.hpp"

namespace skylark::test {
namespace {

constexpr std::size_t team_count = 79;
constexpr double all_requests = 770.0;
constexpr double length = 20.0;

// A quarter of all requests comes from the first team, about one a second from
// the last ones.
std::vector<fake_team> usual_teams() {
    std::vector<fake_team> out(team_count);
    double sum = 0.0;
    for (std::size_t i = 1; i < team_count; ++i)
        sum += out[i].m_usual = std::max(1.0, 60.0 * std::pow(0.92, i));
    out[0].m_usual = all_requests / 4;
    for (std::size_t i = 0; i < team_count; ++i) {
        if (i > 0)
            out[i].m_usual *= all_requests * 0.75 / sum;
        const double rate = 1.6 * out[i].m_usual;
        out[i].m_limit = {hash("team " + std::to_string(i)), rate, rate};
    }
    return out;
}

// Largest number of events in any 5 s.
std::size_t most_in_window(std::vector<double> times) {
    std::sort(times.begin(), times.end());
    std::size_t out = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > 5.0)
            ++first;
        out = std::max(out, last - first + 1);
    }
    return out;
}

// Requests that one bucket at one place would let run, from `begin` on.
std::size_t ideal(const fake_team& team, double begin) {
    const team_limit& limit = team.m_limit;
    double tokens = limit.capacity(1.0);
    double last = 0.0;
    std::size_t out = 0;
    for (const double at : team.m_came) {
        tokens =
            std::min(limit.capacity(1.0), tokens + (at - last) * limit.m_rate);
        last = at;
        if (tokens < 1.0)
            continue;
        tokens -= 1.0;
        out += at > begin ? 1 : 0;
    }
    return out;
}

struct figures {
    double m_worst{};     // largest part of the tolerated number, all teams
    double m_hot_used{};  // part of the limit that team 0 used, 5 s to 20 s
    double m_lost{};      // part of what one bucket would let run, of the
                          // other teams' requests after 5 s
    double m_per_entry{}; // messages per second and entry
    double m_busiest{};   // messages per second of the busiest entry
};

figures measure(const fake_fleet& fleet, std::size_t entries) {
    figures out;
    constexpr double begin = 5.0;
    const auto steady = [](const fake_team& team) {
        return std::count_if(team.m_ran.begin(), team.m_ran.end(),
                             [](double at) { return at > begin; });
    };
    double ran = 0.0;
    double could = 0.0;
    for (const fake_team& team : fleet.teams()) {
        const team_limit& limit = team.m_limit;
        const double tolerated =
            (5.0 * limit.m_rate + limit.m_burst) * 1.1 + 20.0;
        out.m_worst =
            std::max(out.m_worst, most_in_window(team.m_ran) / tolerated);
        if (&team == &fleet.teams().front())
            continue;
        ran += steady(team);
        could += ideal(team, begin);
    }
    const fake_team& hot = fleet.teams().front();
    out.m_hot_used = steady(hot) / (hot.m_limit.m_rate * (length - begin));
    out.m_lost = 1.0 - ran / could;
    out.m_per_entry = fleet.messages() / length / entries;
    out.m_busiest = fleet.busiest() / length;
    return out;
}

void print(const std::string& name, std::size_t entries, const figures& of) {
    std::printf("%-34s %5zu entries: worst 5 s %.2f of tolerated, hot team "
                "used %.2f of limit, others lost %.4f, messages/s/entry %.1f, "
                "busiest %.0f\n",
                name.c_str(), entries, of.m_worst, of.m_hot_used, of.m_lost,
                of.m_per_entry, of.m_busiest);
}

struct fault {
    const char* m_name;
    double m_least_used; // of the limit by the hot team
    std::function<void(fake_options&, std::vector<fake_team>&)> m_prepare;
    std::function<void(fake_fleet&)> m_begin;
};

void nothing(fake_fleet&) {}
void plain(fake_options&, std::vector<fake_team>&) {}

fake_partition cut(bool out, bool in, bool owner) {
    return {6.0, 14.0, 1.0 / 3.0, out, in, owner};
}

std::vector<fault> faults() {
    return {
        {"none", 0.9, plain, nothing},
        {"loss of 2 %", 0.9,
         [](auto& options, auto&) { options.m_loss = 0.02; }, nothing},
        {"clocks 1 % apart", 0.9,
         [](auto& options, auto&) { options.m_skew = 0.01; }, nothing},
        {"4.5 ms one way", 0.9,
         [](auto& options, auto&) { options.m_one_way = 0.0045; }, nothing},
        {"partition", 0.5,
         [](auto& options, auto&) {
             options.m_partition = cut(true, true, false);
         },
         nothing},
        {"partition, with owner", 0.5,
         [](auto& options, auto&) {
             options.m_partition = cut(true, true, true);
         },
         nothing},
        {"a third is not heard", 0.5,
         [](auto& options, auto&) {
             options.m_partition = cut(true, false, false);
         },
         nothing},
        {"a third is not heard, with owner", 0.5,
         [](auto& options, auto&) {
             options.m_partition = cut(true, false, true);
         },
         nothing},
        {"a third does not hear", 0.5,
         [](auto& options, auto&) {
             options.m_partition = cut(false, true, false);
         },
         nothing},
        {"a third does not hear, with owner", 0.5,
         [](auto& options, auto&) {
             options.m_partition = cut(false, true, true);
         },
         nothing},
        {"hot team's owner killed", 0.5, plain,
         [](fake_fleet& fleet) {
             fleet.at(8.0, [&fleet] {
                 fleet.kill(fleet.owner(fleet.teams()[0].m_limit.m_team));
             });
         }},
        {"owner and next one killed", 0.5, plain,
         [](fake_fleet& fleet) {
             fleet.at(8.0, [&fleet] {
                 const auto team = fleet.teams()[0].m_limit.m_team;
                 fleet.kill(fleet.owner(team));
                 fleet.kill(fleet.owner(team));
             });
         }},
        {"three owners, one by one", 0.4, plain,
         [](fake_fleet& fleet) {
             for (const double when : {7.0, 9.0, 11.0})
                 fleet.at(when, [&fleet] {
                     fleet.kill(fleet.owner(fleet.teams()[0].m_limit.m_team));
                 });
         }},
        {"all restarted", 0.5, plain,
         [](fake_fleet& fleet) {
             fleet.at(8.0, [&fleet] {
                 const std::size_t count = fleet.size();
                 for (std::size_t i = 0; i < count; ++i)
                     fleet.restart(i);
             });
         }},
        {"75 % more join", 0.8, plain,
         [](fake_fleet& fleet) {
             fleet.at(8.0, [&fleet] { fleet.add(fleet.size() * 3 / 4); });
         }},
        {"a third killed", 0.4, plain,
         [](fake_fleet& fleet) {
             fleet.at(8.0, [&fleet] {
                 for (std::size_t i = 0; i < fleet.size() / 3; ++i)
                     fleet.kill(i);
             });
         }},
    };
}

// Team 0 sends 7.5 times its usual requests all the time; with the requests
// over the limit, this shows both how much of the limit can be used and what
// entries do when the limit is reached.
figures play(const fault& what, std::size_t entries) {
    fake_options options;
    options.m_entries = entries;
    auto teams = usual_teams();
    teams[0].m_factor = [](double at) { return at < 2.0 ? 1.0 : 7.5; };
    what.m_prepare(options, teams);
    fake_fleet fleet{options, std::move(teams)};
    what.m_begin(fleet);
    fleet.run(length);
    const figures out = measure(fleet, entries);
    print(what.m_name, entries, out);
    return out;
}

TEST(allowance_fleet, limits_hold_through_faults) {
    for (const fault& what : faults())
        for (const std::size_t entries : {14U, 117U}) {
            const figures out = play(what, entries);
            EXPECT_LE(out.m_worst, 1.0) << what.m_name << " at " << entries;
            EXPECT_GE(out.m_hot_used, what.m_least_used)
                << what.m_name << " at " << entries;
        }
}

// With more entries there are more that start with partial views, and more
// that use shares of their own.
TEST(allowance_fleet, limits_hold_in_large_fleets) {
    const std::set<std::string> played{"none", "partition, with owner",
                                       "all restarted"};
    for (const fault& what : faults()) {
        if (!played.contains(what.m_name))
            continue;
        for (const std::size_t entries : {313U, 1000U})
            EXPECT_LE(play(what, entries).m_worst, 1.0)
                << what.m_name << " at " << entries;
    }
}

// A team that stays below its limit must not lose requests because its tokens
// lie unused at other entries.
TEST(allowance_fleet, teams_below_their_limit_lose_nearly_nothing) {
    const figures out = play(faults().front(), 117);
    EXPECT_LT(out.m_lost, 0.01);
}

// All teams at once send far more than they may, as after a pause in which the
// buckets have filled.
TEST(allowance_fleet, bursts_of_all_teams_stay_within_the_limits) {
    fake_options options;
    auto teams = usual_teams();
    for (fake_team& team : teams)
        team.m_factor = [](double at) {
            return at > 8.0 && at < 16.0 ? 7.5 : 0.2;
        };
    fake_fleet fleet{options, std::move(teams)};
    fleet.run(length);
    const figures out = measure(fleet, options.m_entries);
    print("all teams burst", options.m_entries, out);
    EXPECT_LE(out.m_worst, 1.0);
}

// The lower limit holds once the entries had time to adopt it.
TEST(allowance_fleet, lower_limit_takes_effect) {
    fake_options options;
    auto teams = usual_teams();
    teams[0].m_factor = [](double) { return 3.0; };
    fake_fleet fleet{options, std::move(teams)};
    const double rate = 30.0;
    fleet.at(8.0, [&] { fleet.set_limit(0, rate, rate); });
    fleet.run(length);
    std::vector<double> later = fleet.teams()[0].m_ran;
    std::erase_if(later, [](double at) { return at < 8.0 + 2.5; });
    const std::size_t most = most_in_window(later);
    std::printf("lowered to %.0f/s: %zu in 5 s, from 2.5 s after the change "
                "on\n",
                rate, most);
    EXPECT_LE(most, (5.0 * rate + rate) * 1.1 + 20.0);
    EXPECT_GE(later.size(), 0.9 * rate * (length - 10.5));
}

} // namespace
} // namespace skylark::test
