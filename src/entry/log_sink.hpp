// Standard output as a log4cplus appender that never waits.
#ifndef SKYLARK_ENTRY_LOG_SINK_HPP
#define SKYLARK_ENTRY_LOG_SINK_HPP

#include <cstdint>

#include <log4cplus/appender.h>

namespace skylark::entry {

/*! @brief Writes lines to a descriptor. While its reader is too slow, lines
 *  are left out and counted; the count goes out with the next line that
 *  fits. */
class log_sink : public log4cplus::Appender {
public:
    /*! @param descriptor to write to; stays open */
    explicit log_sink(int descriptor) : m_descriptor{descriptor} {}
    ~log_sink() override { destructorImpl(); }
    log_sink(const log_sink&) = delete;
    log_sink& operator=(const log_sink&) = delete;

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    [[nodiscard]] bool write(const std::string& text) const;

    int m_descriptor;
    std::uint64_t m_left_out{};
};

} // namespace skylark::entry

#endif
