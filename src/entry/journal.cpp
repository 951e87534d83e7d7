// Events and decisions of this process: into the ring and the log.
#include "entry/journal.hpp"

#include <chrono>
#include <utility>

#include <unistd.h>

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "core/foreign_text.hpp"
#include "entry/log_sink.hpp"
#include "io/event_loop.hpp"

namespace skylark::entry {

struct journal::log {
    log4cplus::Logger m_logger;
};

namespace {

constexpr std::size_t longest_subject = 200; // bytes
constexpr std::size_t longest_detail = 500;

// log4cplus starts once for each process and cannot start again. Its threads
// serve appenders that write later, and the sink is none of them; a process
// ends only when each of its threads has.
void start_logging() {
    static const log4cplus::Initializer initializer;
    log4cplus::setThreadPoolSize(1); // the least
}

} // namespace

journal::journal(const std::string& name, const std::string& level)
    : m_log{std::make_unique<log>()} {
    start_logging();
    log4cplus::SharedAppenderPtr appender{new log_sink{STDOUT_FILENO}};
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

void journal::note(event_kind kind, std::string_view subject,
                   std::string_view detail) {
    const time_point now = io::event_loop::now();
    const event& kept =
        m_ring.add(wall_ms(), kind, clean_text(subject, longest_subject),
                   clean_text(detail, longest_detail));
    // Verdicts of single requests have lines of their own, see decided().
    if (kept.m_kind == event_kind::request ||
        !may_write(line_kind::change, now))
        return;
    log_line line{name_of(kept.m_kind)};
    line.add("subject", kept.m_subject).add("detail", kept.m_detail);
    LOG4CPLUS_INFO(m_log->m_logger, line.text());
}

void journal::decided(const log_line& line, time_point now, line_kind kind) {
    if (may_write(kind, now))
        LOG4CPLUS_INFO(m_log->m_logger, line.text());
}

bool journal::may_write(line_kind kind, time_point now) {
    line_budget& of = m_budgets[static_cast<std::size_t>(kind)];
    if (!of.m_bucket.take(now)) {
        ++of.m_left_out;
        return false;
    }
    if (of.m_left_out > 0) {
        log_line line{"log"};
        line.add("left_out", std::exchange(of.m_left_out, 0))
            .add("kind", name_of(kind))
            .add("reason", "more lines a second than are written");
        LOG4CPLUS_INFO(m_log->m_logger, line.text());
    }
    return true;
}

std::uint64_t journal::stamp() {
    return m_ring.clock().stamp(wall_ms());
}

void journal::seen(std::uint64_t stamp) {
    m_ring.clock().observe(stamp, wall_ms());
}

} // namespace skylark::entry
