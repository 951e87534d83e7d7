// Events of this process: into the ring, and one log line each.
#include "entry/journal.hpp"

#include <chrono>
#include <utility>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace skylark::entry {

struct journal::log {
    log4cplus::Logger m_logger;
};

namespace {

// log4cplus starts once for each process and cannot start again.
void start_logging() {
    static const log4cplus::Initializer initializer;
}

} // namespace

journal::journal(const std::string& name, const std::string& level)
    : m_log{std::make_unique<log>()} {
    start_logging();
    constexpr bool to_stderr = true;
    constexpr bool flush = true;
    log4cplus::SharedAppenderPtr appender{
        new log4cplus::ConsoleAppender{to_stderr, flush}};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%dT%H:%M:%S.%q} %p %c %m%n"));
    m_log->m_logger = log4cplus::Logger::getInstance(name);
    m_log->m_logger.removeAllAppenders();
    m_log->m_logger.addAppender(appender);
    std::string upper;
    for (const char c : level)
        upper += static_cast<char>(c >= 'a' && c <= 'z' ? c - 'a' + 'A' : c);
    m_log->m_logger.setLogLevel(
        log4cplus::getLogLevelManager().fromString(upper));
}

journal::~journal() = default;

std::uint64_t journal::wall_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void journal::note(event_kind kind, std::string subject, std::string detail) {
    const event& kept =
        m_ring.add(wall_ms(), kind, std::move(subject), std::move(detail));
    // Verdicts of single requests are counted, and logged only for debugging.
    const auto line = std::string{name_of(kept.m_kind)} +
                      " subject=" + kept.m_subject + " detail=\"" +
                      kept.m_detail + '"';
    if (kept.m_kind == event_kind::request)
        LOG4CPLUS_DEBUG(m_log->m_logger, line);
    else
        LOG4CPLUS_INFO(m_log->m_logger, line);
}

std::uint64_t journal::stamp() {
    return m_ring.clock().stamp(wall_ms());
}

void journal::seen(std::uint64_t stamp) {
    m_ring.clock().seen(stamp, wall_ms());
}

} // namespace skylark::entry
