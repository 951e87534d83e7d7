// Upstreams that answer an upload at once, with a part of a body without a
// length, and then break the connection off.
#include "test/platform/interfaces.hpp"

using namespace skylark;
using namespace skylark::test;

namespace {

// More than the kernel takes for a receiver that does not read.
constexpr std::size_t upload_size = std::size_t{9} << 20U;
constexpr std::size_t part_size = 5000;

class answered_uploads : public whole_entry,
                         public testing::WithParamInterface<entry::deployment> {
protected:
    answered_uploads() : whole_entry{GetParam()} {
        m_body.assign(upload_size, 'x');
        m_body_limit = std::size_t{16} << 20U;
    }

    void serve(std::size_t upstream, const scripted_request& got) override {
        if (got.m_method != "POST") {
            m_upstreams[upstream].say(
                got.m_connection, success(got) + "Content-Length: 0\r\n\r\n");
            return;
        }
        ++m_served;
        m_upstreams[upstream].say(got.m_connection,
                                  success(got) + "\r\n" +
                                      std::string(part_size, 'y'));
        m_upstreams[upstream].say_later(m_delay, got.m_connection, "", m_end);
    }

    duration m_delay{};
    ending m_end{ending::reset};
    int m_served{};
};

} // namespace

TEST_P(answered_uploads, that_are_broken_off_are_not_given_as_whole) {
    start(native() ? 16 : 1);
    for (scripted_upstream& item : m_upstreams)
        item.ignore_bodies();
    constexpr std::array delays{milliseconds{0}, milliseconds{2},
                                milliseconds{20}, milliseconds{100}};
    int whole = 0;
    for (const ending how : {ending::close, ending::reset})
        for (const duration delay : delays) {
            m_end = how;
            m_delay = delay;
            const int before = m_served;
            const auto got =
                send_until("POST", [&] { return m_served > before; });
            whole += status(got) == 200 ? 1 : 0;
        }
    EXPECT_EQ(whole, 0);
}

INSTANTIATE_TEST_SUITE_P(entry, answered_uploads,
                         testing::Values(entry::deployment::native,
                                         entry::deployment::platform),
                         [](const auto& tested) {
                             return name_of(tested.param);
                         });
