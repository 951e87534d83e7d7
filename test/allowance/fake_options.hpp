// What a fake fleet plays: entries, faults, teams.
#ifndef SKYLARK_TEST_ALLOWANCE_FAKE_OPTIONS_HPP
#define SKYLARK_TEST_ALLOWANCE_FAKE_OPTIONS_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include <skylark/allowance/team_limit.hpp>

namespace skylark::test {

// Times in seconds since the begin.
struct fake_partition {
    double m_from{1e9};
    double m_to{1e9};
    double m_part{};  // of the entries, on the far side
    bool m_out{true}; // datagrams of the far side are lost
    bool m_in{true};  // datagrams to the far side are lost
    bool m_owner{};   // the far side holds the owner of the first team
};

struct fake_team {
    double m_usual{}; // requests a second
    team_limit m_limit;
    std::function<double(double)> m_factor = [](double) { return 1.0; };
    std::vector<double> m_came;
    std::vector<double> m_ran; // when requests reached an upstream
    std::uint64_t m_refused{};
};

struct fake_options {
    std::size_t m_entries{117};
    double m_loss{};
    double m_skew{};
    double m_one_way{0.0005};
    fake_partition m_partition;
    std::uint64_t m_seed{1};
};

} // namespace skylark::test

#endif
