// Entries and upstreams of several zones in virtual time. Entries use the
// product's zone share; probes are answered within one step of the time.
#ifndef TEST_ROUTE_FAKE_ZONES_HPP
#define TEST_ROUTE_FAKE_ZONES_HPP

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <skylark/route/zone_share.hpp>

namespace skylark::test {

/*! @brief Three zones with the same demand. */
class fake_zones {
public:
    static constexpr std::size_t zone_count = 3;

    struct shape {
        std::size_t m_entries{117}; //!< dealt out to the zones in turn
        double m_requests_per_s{770};
        duration m_round_trip{milliseconds{1}};
        duration m_step{milliseconds{8}};
        duration m_price{milliseconds{10}};
    };

    /*! @brief What happened in the requests of one zone. */
    struct figures {
        double m_requests{};
        double m_sent_away{};
        double m_refused{};
        double m_probes{};
        double m_probes_away{};
    };

    explicit fake_zones(const shape& from) : m_shape{from} {
        for (std::size_t i = 0; i < from.m_entries; ++i)
            m_entries.emplace_back(name(i % zone_count));
        m_upstreams.resize(zone_count * per_zone);
    }

    /*! @brief Upstreams of a zone beyond this number do not answer. */
    void keep_alive(std::size_t zone, std::size_t count) {
        for (std::size_t i = 0; i < per_zone; ++i) {
            upstream& item = m_upstreams[zone * per_zone + i];
            item.m_alive = i < count;
            if (!item.m_alive)
                item.m_ends.clear();
        }
    }

    /*! @brief Nothing passes between a zone and the others. */
    void cut_off(std::size_t zone, bool is_cut) { m_cut[zone] = is_cut; }

    void set_demand(double factor) { m_demand = factor; }

    /*! @brief Runs for a time; figures count anew. */
    void run(duration length) {
        m_figures = {};
        m_used_time = {};
        m_lowest_share = 1.0;
        m_highest_share = 0.0;
        const time_point begun = m_now;
        while (m_now < begun + length)
            step();
        for (double& used : m_used_time)
            used /= std::chrono::duration<double>{length}.count();
    }

    [[nodiscard]] const figures& of(std::size_t zone) const {
        return m_figures[zone];
    }
    /*! @brief Mean number of slots in use. */
    [[nodiscard]] double used(std::size_t zone) const {
        return m_used_time[zone];
    }
    /*! @brief Part of a zone's requests that was sent to others. */
    [[nodiscard]] double sent_away(std::size_t zone) const {
        return of(zone).m_sent_away / of(zone).m_requests;
    }
    [[nodiscard]] double refused(std::size_t zone) const {
        return of(zone).m_refused / of(zone).m_requests;
    }
    /*! @brief Mean share over the entries of the first zone: least and largest
     *  value in the last run. */
    [[nodiscard]] double lowest_share() const { return m_lowest_share; }
    [[nodiscard]] double highest_share() const { return m_highest_share; }

    static constexpr std::size_t per_zone = 9; // upstreams
    static constexpr std::size_t slots = 4;

private:
    static constexpr duration tick{milliseconds{5}};
    static constexpr double service_time = 0.1; // seconds, mean

    struct upstream {
        bool m_alive{true};
        std::vector<time_point> m_ends; // of requests in progress
    };
    enum class found : std::uint8_t { room, full, silent };

    static std::string name(std::size_t zone) {
        return std::string(1, static_cast<char>('a' + zone));
    }

    double uniform() {
        constexpr std::uint32_t parts = 1U << 24;
        return m_random(parts) / static_cast<double>(parts);
    }

    found probe(std::size_t from, std::size_t target) {
        ++m_figures[from].m_probes;
        const std::size_t zone = target / per_zone;
        const upstream& item = m_upstreams[target];
        m_figures[from].m_probes_away += zone != from ? 1 : 0;
        if (!item.m_alive || (zone != from && (m_cut[zone] || m_cut[from])))
            return found::silent;
        return item.m_ends.size() < slots ? found::room : found::full;
    }

    // Sends the request after a step of probes, if one of them finds room.
    bool try_step(zone_share& share, std::size_t from,
                  const std::vector<std::size_t>& targets) {
        std::size_t best = m_upstreams.size();
        for (std::size_t i = 0; i < 3 && !targets.empty(); ++i) {
            const std::size_t target =
                targets[m_random(static_cast<std::uint32_t>(targets.size()))];
            const found got = probe(from, target);
            const std::string zone = name(target / per_zone);
            if (got == found::silent)
                share.unanswered(zone, m_now);
            else
                share.answered(zone, m_now, got == found::room);
            if (got == found::room)
                best = target;
        }
        if (best == m_upstreams.size())
            return false;
        const std::chrono::duration<double> work{-service_time *
                                                 std::log(1.0 - uniform())};
        m_upstreams[best].m_ends.push_back(
            m_now + std::chrono::duration_cast<duration>(work));
        m_figures[from].m_sent_away += best / per_zone != from ? 1 : 0;
        return true;
    }

    void request(std::size_t index) {
        zone_share& share = m_entries[index];
        const std::size_t from = index % zone_count;
        std::vector<zone_distance> others;
        std::vector<std::size_t> own;
        std::vector<std::size_t> away;
        std::array<std::string, zone_count> names;
        for (std::size_t zone = 0; zone < zone_count; ++zone) {
            names[zone] = name(zone);
            if (zone != from)
                others.push_back(
                    {names[zone], m_shape.m_step, m_shape.m_round_trip});
        }
        share.update(m_now,
                     {m_shape.m_price, milliseconds{250}, milliseconds{8}},
                     others);
        for (std::size_t i = 0; i < m_upstreams.size(); ++i)
            if (i / per_zone == from)
                own.push_back(i);
            else if (share.open(names[i / per_zone]))
                away.push_back(i);
        const bool leaves = share.draw(m_random);
        const bool is_short = share.leaving();
        ++m_figures[from].m_requests;
        const bool sent = leaves
                              ? try_step(share, from, away) ||
                                    try_step(share, from, away) ||
                                    try_step(share, from, own)
                              : try_step(share, from, own) ||
                                    (!is_short && try_step(share, from, own)) ||
                                    try_step(share, from, away);
        m_figures[from].m_refused += sent ? 0 : 1;
    }

    void step() {
        m_now += tick;
        const double seconds_passed =
            std::chrono::duration<double>{tick}.count();
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            auto& ends = m_upstreams[i].m_ends;
            std::erase_if(ends, [&](time_point end) { return end <= m_now; });
            m_used_time[i / per_zone] +=
                static_cast<double>(ends.size()) * seconds_passed;
        }
        const double expected =
            m_shape.m_requests_per_s * m_demand * seconds_passed;
        auto count = static_cast<std::size_t>(expected);
        count += uniform() < expected - static_cast<double>(count) ? 1 : 0;
        for (std::size_t i = 0; i < count; ++i)
            request(m_random(static_cast<std::uint32_t>(m_entries.size())));
        double sum = 0.0;
        double entries = 0.0;
        for (std::size_t i = 0; i < m_entries.size(); i += zone_count) {
            sum += m_entries[i].share();
            ++entries;
        }
        m_lowest_share = std::min(m_lowest_share, sum / entries);
        m_highest_share = std::max(m_highest_share, sum / entries);
    }

    shape m_shape;
    time_point m_now{seconds{100}};
    random_source m_random{11};
    std::vector<zone_share> m_entries;
    std::vector<upstream> m_upstreams;
    std::array<bool, zone_count> m_cut{};
    std::array<figures, zone_count> m_figures{};
    std::array<double, zone_count> m_used_time{};
    double m_demand{1.0};
    double m_lowest_share{};
    double m_highest_share{};
};

} // namespace skylark::test

#endif
