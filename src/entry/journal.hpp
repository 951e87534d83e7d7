// Events of this process: into the ring, and one log line each.
#ifndef SKYLARK_ENTRY_JOURNAL_HPP
#define SKYLARK_ENTRY_JOURNAL_HPP

#include <memory>
#include <string>

#include <skylark/config/config.hpp>
#include <skylark/event/ring.hpp>

namespace skylark::entry {

/*! @brief Keeps and logs changes of state. */
class journal {
public:
    /*! @param name of this process, for the log
     *  @param level lowest level that is logged */
    journal(const std::string& name, const std::string& level);
    ~journal();
    journal(const journal&) = delete;
    journal& operator=(const journal&) = delete;

    /*! @brief Records a change of state. */
    void note(event_kind kind, std::string subject, std::string detail);

    /*! @brief A stamp of the present, for messages. */
    std::uint64_t stamp();

    /*! @brief Takes in another process's stamp. */
    void seen(std::uint64_t stamp);

    [[nodiscard]] const event_ring& ring() const { return m_ring; }

    /*! @brief Wall time in milliseconds. */
    static std::uint64_t wall_ms();

private:
    struct log;
    std::unique_ptr<log> m_log;
    event_ring m_ring{defaults::event_ring};
};

} // namespace skylark::entry

#endif
