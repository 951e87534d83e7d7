// Events and decisions of this process: into the ring and the log.
#ifndef SKYLARK_ENTRY_JOURNAL_HPP
#define SKYLARK_ENTRY_JOURNAL_HPP

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include <skylark/config/config.hpp>
#include <skylark/event/ring.hpp>
#include <skylark/limit/token_bucket.hpp>

#include "entry/line_kind.hpp"
#include "entry/log_line.hpp"

namespace skylark::entry {

/*! @brief Keeps and logs changes of state, and logs decisions on requests.
 *  Both are bounded; what is left out is counted and told. */
class journal {
public:
    /*! @param name of this process, for the log
     *  @param level lowest level that is logged */
    journal(const std::string& name, const std::string& level);
    ~journal();
    journal(const journal&) = delete;
    journal& operator=(const journal&) = delete;

    /*! @brief Records a change of state.
     *  @param kind subject area of the change
     *  @param subject object that changed
     *  @param detail what happened; both may hold bytes of others, which are
     *  made one line of UTF-8 and cut */
    void note(event_kind kind, std::string_view subject,
              std::string_view detail);

    /*! @brief Logs a decision on a request.
     *  @param line what was decided, on what grounds
     *  @param now the present
     *  @param kind selects the bound that applies */
    void decided(const log_line& line, time_point now,
                 line_kind kind = line_kind::decision);

    /*! @brief A stamp of the present, for messages. */
    std::uint64_t stamp();

    /*! @brief Takes in another process's stamp. */
    void seen(std::uint64_t stamp);

    [[nodiscard]] const event_ring& ring() const { return m_ring; }

    /*! @brief Wall time in milliseconds. */
    static std::uint64_t wall_ms();

private:
    struct log;

    // Lines of one kind that may be written, and those that were left out.
    struct line_budget {
        explicit line_budget(double lines_per_s)
            : m_bucket{lines_per_s, 2 * lines_per_s, 2 * lines_per_s} {}

        token_bucket m_bucket;
        std::uint64_t m_left_out{};
    };

    [[nodiscard]] bool may_write(line_kind kind, time_point now);

    std::unique_ptr<log> m_log;
    std::array<line_budget, line_kind_count> m_budgets{
        line_budget{defaults::decision_lines_per_s},
        line_budget{defaults::unmatched_lines_per_s},
        line_budget{defaults::unauthenticated_lines_per_s},
        line_budget{defaults::cut_lines_per_s},
        line_budget{defaults::rejected_lines_per_s},
        line_budget{defaults::discarded_lines_per_s},
        line_budget{defaults::change_lines_per_s}}; // in the order of line_kind
    event_ring m_ring{defaults::event_ring};
};

} // namespace skylark::entry

#endif
