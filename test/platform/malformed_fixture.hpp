// A whole entry and upstreams whose answers fail, or wait, behind their heads.
#ifndef TEST_PLATFORM_MALFORMED_FIXTURE_HPP
#define TEST_PLATFORM_MALFORMED_FIXTURE_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "test/io/raw_caller.hpp"
#include "test/platform/interfaces.hpp"

namespace skylark::test {

/*! @brief What follows the fields that every answer has. */
struct fault {
    std::string m_name;
    std::string m_fields;
    std::string m_body{};
    ending m_end{ending::keep};
};

inline const std::string chunked = "Transfer-Encoding: chunked\r\n";
inline const std::string five_bytes = "Content-Length: 5\r\n";

inline const std::vector<fault> faults{
    {"junk for a chunk size", chunked, "~junk~\r\n"},
    {"digits without an end", chunked, std::string(std::size_t{1} << 17U, '7')},
    {"zeros without an end", chunked, std::string(std::size_t{1} << 17U, '0')},
    {"a closed chunked body", chunked, "", ending::close},
    {"a reset chunked body", chunked, "", ending::reset},
    {"a chunk size and no chunk", chunked, "5\r\n", ending::close},
    {"a closed body", five_bytes, "", ending::close},
    {"a reset body", five_bytes, "", ending::reset},
    {"a reset without a length", "X: y\r\n", "", ending::reset}};

class malformed_body : public whole_entry {
protected:
    explicit malformed_body(entry::deployment kind) : whole_entry{kind} {}

    void serve(std::size_t upstream, const scripted_request& got) override {
        m_runs += m_armed ? 1 : 0;
        if (m_armed && m_runs == 1)
            m_first_run = io::event_loop::now();
        if (m_serve_armed && m_armed) {
            m_serve_armed(m_upstreams[upstream], got);
            return;
        }
        const bool fails = m_armed && m_runs <= m_failing_runs;
        const std::string text = fails ? with_status(got) + m_fault.m_fields +
                                             "\r\n" + m_fault.m_body
                                       : whole(got);
        if (m_byte_by_byte)
            say_bytes(m_upstreams[upstream], got.m_connection, text);
        else
            m_upstreams[upstream].say(got.m_connection, text,
                                      fails ? m_fault.m_end : ending::keep);
    }

    static void say_bytes(scripted_upstream& from, int connection,
                          const std::string& text) {
        duration delay{};
        for (const char byte : text) {
            from.say_later(delay, connection, std::string{byte});
            delay += std::chrono::microseconds{200};
        }
    }

    [[nodiscard]] std::string with_status(const scripted_request& got) const {
        std::string out = success(got);
        if (m_status != 200)
            out.replace(out.find("200 OK"), 6,
                        std::to_string(m_status) + " No");
        return out;
    }

    [[nodiscard]] std::string whole(const scripted_request& got) const {
        return success(got) + chunked + "\r\n3\r\nown\r\n0\r\n\r\n";
    }

    // After a failure the native interface waits for a new load report, so
    // other upstreams take the requests meanwhile.
    void start_upstreams() { start(native() ? 16 : 2); }

    // Repeats are a tenth of the requests.
    void earn_repeats() {
        m_armed = false;
        for (int i = 0; i < 30; ++i)
            send("GET");
    }

    io::fetch_result send_armed(const std::string& method) {
        m_armed = true;
        m_runs = 0;
        auto got = send_until(method, [this] { return m_runs > 0; });
        m_armed = false;
        return got;
    }

    // Sends a request that reaches an upstream, on a connection of its own.
    std::unique_ptr<raw_caller> call_armed(const std::string& method,
                                           const std::string& fields = {}) {
        m_armed = true;
        m_runs = 0;
        constexpr int most_refusals = 10;
        std::unique_ptr<raw_caller> caller;
        for (int i = 0; i <= most_refusals && m_runs == 0; ++i) {
            caller = std::make_unique<raw_caller>(m_settings.m_callers);
            caller->write(
                text_of(method, method == "GET" ? "/a/x" : "/b/x", fields));
            turn_until([&] {
                caller->read();
                return m_runs > 0 || caller->bytes().starts_with(
                                         "HTTP/1.1 503"); // probes were late
            });
        }
        EXPECT_GT(m_runs, 0);
        return caller;
    }

    std::string text_of(const std::string& method, const std::string& path,
                        const std::string& fields = {}) {
        return method + ' ' + path +
               " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: raw" +
               std::to_string(++m_raw) + "\r\n" + fields +
               "Content-Length: 0\r\n\r\n";
    }

    static std::string body(const io::fetch_result& of) {
        const auto* answer = std::get_if<io::fetch_answer>(&of);
        return answer ? answer->m_body : "";
    }

    std::function<void(scripted_upstream&, const scripted_request&)>
        m_serve_armed;
    fault m_fault{};
    int m_status{200}; // of answers that fail
    int m_failing_runs{100};
    bool m_byte_by_byte{};
    bool m_armed{};
    int m_runs{};           // of the request that was sent last
    time_point m_first_run; // of that request; refused ones come before it
    int m_raw{};
};

} // namespace skylark::test

#endif
