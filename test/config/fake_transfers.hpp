// Entries that fetch one version from each other in virtual time, over links of
// bounded speed. Sources can freeze.
#ifndef TEST_CONFIG_FAKE_TRANSFERS_HPP
#define TEST_CONFIG_FAKE_TRANSFERS_HPP

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <skylark/config/transfer_plan.hpp>
#include <skylark/config/upload_limit.hpp>

namespace skylark::test {

/*! @brief Simulated fleet. The entries with the lowest indices have the
 *  version from the start and announce it to all others. */
class fake_transfers {
public:
    struct fleet_shape {
        std::size_t m_count{};
        std::size_t m_holders{};
        std::size_t m_bytes{}; // of the document as it is passed on
        //! Link speeds in bytes a second, dealt out in turn.
        std::vector<double> m_speeds;
        std::size_t m_zones{1}; //!< the entries are dealt out in turn
    };

    explicit fake_transfers(const fleet_shape& shape) : m_shape{shape} {
        for (std::size_t i = 0; i < shape.m_count; ++i) {
            entry& item = m_entries.emplace_back(i + 1);
            item.m_speed = shape.m_speeds[i % shape.m_speeds.size()];
            item.m_has = i < shape.m_holders;
        }
        for (std::size_t i = shape.m_holders; i < shape.m_count; ++i)
            for (std::size_t from = 0; from < shape.m_holders; ++from)
                m_entries[i].m_plan.announced(version, source(from, i), m_now);
    }

    /*! @brief An entry sends and receives nothing from now on. */
    void freeze(std::size_t index) { m_frozen.insert(index); }

    void run(duration length) {
        for (const time_point end = m_now + length; m_now < end;) {
            m_now += step;
            for (std::size_t i = 0; i < m_entries.size(); ++i)
                if (!m_frozen.contains(i))
                    start_transfer(i);
            move_bytes();
        }
    }

    /*! @brief Time at which the last of the running entries had the version;
     *  none if one lacks it or would have asked the store. */
    [[nodiscard]] std::optional<duration> last_delivery() const {
        duration last{0};
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            const entry& item = m_entries[i];
            if (m_frozen.contains(i))
                continue;
            if (!item.m_has || item.m_was_overdue)
                return std::nullopt;
            last = std::max(last, item.m_delivered - start);
        }
        return last;
    }

    [[nodiscard]] std::size_t without_version() const {
        std::size_t out = 0;
        for (std::size_t i = 0; i < m_entries.size(); ++i)
            out += m_entries[i].m_has || m_frozen.contains(i) ? 0 : 1;
        return out;
    }

    [[nodiscard]] std::size_t most_uploads() const { return m_most_uploads; }
    [[nodiscard]] std::size_t requests() const { return m_requests; }
    /*! @brief Whole transfers from one zone to another. */
    [[nodiscard]] std::size_t between_zones() const { return m_between_zones; }

private:
    static constexpr config_order version{2, {}};
    static constexpr time_point start{seconds{100}};
    static constexpr duration step{milliseconds{5}};
    static constexpr duration round_trip{milliseconds{10}};

    struct entry {
        explicit entry(std::uint64_t self) : m_plan{{}, self} {}

        transfer_plan m_plan;
        upload_limit m_uploads;
        double m_speed{};
        bool m_has{};
        bool m_was_overdue{};
        time_point m_delivered{start};
    };
    struct transfer {
        std::size_t m_from{};
        std::size_t m_to{};
        double m_left{};    // bytes
        time_point m_begin; // of the answer
        bool m_refused{};
    };

    static address where(std::size_t index) {
        return {static_cast<std::uint32_t>(index + 1), 1};
    }

    [[nodiscard]] bool same_zone(std::size_t left, std::size_t right) const {
        return left % m_shape.m_zones == right % m_shape.m_zones;
    }

    [[nodiscard]] transfer_source source(std::size_t of, std::size_t to) const {
        return {where(of), same_zone(of, to)};
    }

    void start_transfer(std::size_t index) {
        entry& item = m_entries[index];
        item.m_was_overdue |= item.m_plan.overdue(m_now);
        const auto from = item.m_plan.next(m_now);
        if (!from)
            return;
        ++m_requests;
        const std::size_t source = from->m_ip - 1;
        transfer begun{source, index, static_cast<double>(m_shape.m_bytes),
                       m_now + round_trip};
        const exchange_id key{++m_last_transfer};
        entry& at = m_entries[source];
        begun.m_refused = !at.m_has || !at.m_uploads.begin(key, where(index),
                                                           m_shape.m_bytes);
        if (begun.m_refused)
            begun.m_left = 0;
        m_transfers.emplace(key, begun);
    }

    [[nodiscard]] bool moves(const transfer& of) const {
        return m_now >= of.m_begin && !m_frozen.contains(of.m_from) &&
               !m_frozen.contains(of.m_to);
    }

    void move_bytes() {
        std::map<std::size_t, std::size_t> outgoing;
        std::map<std::size_t, std::size_t> incoming;
        for (const auto& [key, item] : m_transfers)
            if (moves(item) && !item.m_refused) {
                m_most_uploads =
                    std::max(m_most_uploads, ++outgoing[item.m_from]);
                ++incoming[item.m_to];
            }
        const double seconds_passed =
            std::chrono::duration<double>{step}.count();
        for (auto it = m_transfers.begin(); it != m_transfers.end();) {
            auto& [key, item] = *it;
            if (!moves(item)) {
                ++it;
                continue;
            }
            if (!item.m_refused) {
                const double pace = std::min(
                    m_entries[item.m_from].m_speed / outgoing[item.m_from],
                    m_entries[item.m_to].m_speed / incoming[item.m_to]);
                item.m_left -= pace * seconds_passed;
                m_entries[item.m_to].m_plan.input_received(where(item.m_from),
                                                           m_now);
            }
            if (item.m_left > 0) {
                ++it;
                continue;
            }
            end_transfer(key, item);
            it = m_transfers.erase(it);
        }
    }

    void end_transfer(exchange_id key, const transfer& of) {
        entry& from = m_entries[of.m_from];
        entry& to = m_entries[of.m_to];
        if (of.m_refused) {
            std::vector<transfer_source> holders;
            for (const address& holder : from.m_uploads.holders())
                holders.push_back(source(holder.m_ip - 1, of.m_to));
            to.m_plan.referred(holders);
            to.m_plan.ended(where(of.m_from), transfer_end::busy, m_now);
            return;
        }
        from.m_uploads.ended(key, true);
        m_between_zones += same_zone(of.m_from, of.m_to) ? 0 : 1;
        if (!to.m_has)
            to.m_delivered = m_now;
        to.m_has = true;
        to.m_plan.adopted(version);
    }

    fleet_shape m_shape;
    time_point m_now{start};
    std::vector<entry> m_entries;
    std::set<std::size_t> m_frozen;
    std::map<exchange_id, transfer> m_transfers;
    std::uint64_t m_last_transfer{};
    std::size_t m_most_uploads{};
    std::size_t m_requests{};
    std::size_t m_between_zones{};
};

} // namespace skylark::test

#endif
