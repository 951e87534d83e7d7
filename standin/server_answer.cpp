// Answers of the stand-in for a server of the users' platform.
#include <cmath>
#include <optional>
#include <utility>

#include "io/http_status.hpp"
#include "standin/server.hpp"

namespace standin {

using namespace skylark;

namespace {

constexpr std::int64_t default_size = 512; // bytes of an answer
constexpr double usual_slowness = 100;     // in Server-Load

std::uint32_t adler32(std::string_view text) {
    constexpr std::uint32_t modulus = 65521;
    constexpr std::uint32_t half = 16;
    std::uint32_t low = 1;
    std::uint32_t high = 0;
    for (const char byte : text) {
        low = (low + static_cast<unsigned char>(byte)) % modulus;
        high = (high + low) % modulus;
    }
    return (high << half) | low;
}

// Bytes that no other request and no other server gives.
std::string unique_body(std::string_view id, std::string_view instance,
                        std::size_t size) {
    std::string line{id};
    line.append(" ").append(instance).append("\n");
    std::string out;
    out.reserve(size + line.size());
    while (out.size() < size)
        out += line;
    out.resize(size);
    return out;
}

} // namespace

std::string server::load() const {
    return std::to_string(m_running) + ',' + std::to_string(m_queue.size()) +
           ',' + std::to_string(m_shape.m_slots) + ',' +
           std::to_string(std::lround(m_phase * usual_slowness));
}

std::vector<io::header> server::answer_headers(std::string_view id) const {
    std::vector<io::header> out{{"Server-Load", load()}};
    if (!id.empty())
        out.push_back({"Request-Id", std::string{id}});
    if (m_leaving)
        out.push_back({"Server-Leaving", "1"});
    return out;
}

std::string server::stamp(std::size_t size,
                          std::string_view request_body) const {
    return m_shape.m_instance + '.' + std::to_string(size) + '.' +
           std::to_string(request_body.size()) + '.' +
           std::to_string(adler32(request_body));
}

void server::finish(exchange_id key, int status) {
    const auto found = m_jobs.find(key);
    if (found == m_jobs.end())
        return;
    job& item = found->second;
    if (status == io::status::ok && answer_endlessly(key, item))
        return;
    item.m_answered = true;
    const query target{item.m_target};
    const auto size =
        status == io::status::ok
            ? static_cast<std::size_t>(target.number("size", default_size))
            : 0;
    auto headers = answer_headers(item.m_id);
    headers.push_back({"Response-Stamp", stamp(size, m_server.body(key))});
    m_ledger.add("answered", item.m_id,
                 "status=" + std::to_string(status) +
                     (m_leaving ? " leaving=1" : ""));
    std::optional<std::uint64_t> length{size};
    if (target.has("chunked"))
        length.reset();
    const std::string body = unique_body(item.m_id, m_shape.m_instance, size);
    item.m_broken = size > 1 && m_to_break > 0;
    if (item.m_broken) {
        --m_to_break;
        m_ledger.add("broke", item.m_id);
    }
    const bool whole = !item.m_broken;
    m_server.start(key, status, headers, length);
    m_server.send(
        key, std::string_view{body}.substr(0, whole ? size : size / 2), whole);
}

// Called when a part of an answer has been written.
void server::break_off(exchange_id key) {
    const auto found = m_jobs.find(key);
    if (found != m_jobs.end() && found->second.m_broken)
        m_server.abort(key);
}

// The answer holds no slot: a server that has one left serves others meanwhile.
bool server::answer_endlessly(exchange_id key, job& item) {
    const auto answer = m_endless.draw(false);
    if (!answer || !begin_endless(key, item.m_id, *answer,
                                  stamp(default_size, m_server.body(key))))
        return false;
    item.m_answered = true;
    item.m_running = false;
    --m_running;
    run_next();
    return true;
}

bool server::check_endlessly(exchange_id key) {
    const auto answer = m_endless.draw(true);
    return answer && begin_endless(key, {}, *answer, {});
}

bool server::begin_endless(exchange_id key, std::string_view id,
                           const endless_answer& answer,
                           const std::string& stamped) {
    const int descriptor = m_server.duplicate_descriptor(key);
    if (descriptor < 0)
        return false;
    auto headers = answer_headers(id);
    headers.push_back({"Instance-Id", m_shape.m_instance});
    if (!stamped.empty())
        headers.push_back({"Response-Stamp", stamped});
    std::string head = "HTTP/1.1 " + std::to_string(answer.m_status) + " -\r\n";
    for (const io::header& field : headers)
        head += field.m_name + ": " + field.m_value + "\r\n";
    m_ledger.add("endless", id, answer.text());
    m_writer.begin(key, descriptor, std::move(head), answer);
    return true;
}

// The connection is gone; an answer that nobody gets ends its exchange.
void server::end_endless(exchange_id key, std::uint64_t bytes) {
    const auto found = m_jobs.find(key);
    m_ledger.add("endless_left",
                 found == m_jobs.end() ? std::string{} : found->second.m_id,
                 "bytes=" + std::to_string(bytes));
    m_server.answer(key, io::status::unavailable, {}, "");
}

} // namespace standin
