// Bounds of the lingering close, and what counts as delivered.
#include "io/lingering_connections.hpp"

#include <array>
#include <string>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/listener.hpp"
#include "test/io/raw_caller.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class lingering_connections_test : public testing::Test {
protected:
    ~lingering_connections_test() override { close(m_listener); }

    int accepted() const {
        const int fd =
            accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        EXPECT_GE(fd, 0);
        return fd;
    }

    template <class Condition>
    void run_until(Condition reached) {
        for (int i = 0; i < 5000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    io::event_loop m_loop;
    int m_listener = io::internal::open_listener({0x7f000001U, 0}).value();
    address m_where = io::internal::local_address(m_listener);
};

} // namespace

TEST_F(lingering_connections_test, closes_when_the_caller_closes) {
    io::lingering_connections closing{m_loop, {seconds{3600}, 8}};
    {
        raw_caller caller{m_where};
        closing.add(accepted());
        run_until([&] { return !caller.read(); });
        EXPECT_EQ(caller.error(), 0);
        EXPECT_EQ(closing.size(), 1U);
    }
    run_until([&] { return closing.size() == 0; });
}

TEST_F(lingering_connections_test, closes_when_the_time_is_up) {
    io::lingering_connections closing{m_loop, {milliseconds{20}, 8}};
    raw_caller caller{m_where};
    closing.add(accepted());
    run_until([&] { return closing.size() == 0; });
}

TEST_F(lingering_connections_test, closes_the_oldest_beyond_the_count) {
    io::lingering_connections closing{m_loop, {seconds{3600}, 2}};
    raw_caller oldest{m_where};
    closing.add(accepted());
    raw_caller second{m_where};
    closing.add(accepted());
    raw_caller third{m_where};
    closing.add(accepted());
    EXPECT_EQ(closing.size(), 2U);
    std::string bytes(std::size_t{8} << 20U, 'x');
    run_until([&] { return !oldest.write_some(bytes); });
    second.write("discarded");
    run_until([&] { return !closing.delivered(); });
    EXPECT_EQ(closing.size(), 2U);
}

TEST_F(lingering_connections_test, is_delivered_once_all_is_acknowledged) {
    io::lingering_connections closing{m_loop, {seconds{3600}, 8}};
    EXPECT_TRUE(closing.delivered());
    constexpr int small_buffer = 4096;
    constexpr std::size_t size = 60'000;
    raw_caller caller{m_where, small_buffer};
    const int fd = accepted();
    const std::string answer(size, 'x');
    ASSERT_EQ(send(fd, answer.data(), size, 0), static_cast<ssize_t>(size));
    closing.add(fd);
    EXPECT_FALSE(closing.delivered());
    run_until([&] { return !caller.read(); });
    EXPECT_EQ(caller.bytes().size(), size);
    run_until([&] { return closing.delivered(); });
    EXPECT_EQ(closing.size(), 1U);
}

// Guards against a null pointer as the buffer of discarded input. Linux takes
// it from a TCP socket only; a local socket shows how other stacks treat it.
TEST_F(lingering_connections_test, discards_into_a_buffer_of_its_own) {
    io::lingering_connections closing{m_loop, {seconds{3600}, 8}};
    std::array<int, 2> ends{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0,
                         ends.data()),
              0);
    closing.add(ends[0]);
    const std::string input(std::size_t{40} << 10U, 'x');
    ASSERT_EQ(write(ends[1], input.data(), input.size()),
              static_cast<ssize_t>(input.size()));
    int unread = 0;
    run_until(
        [&] { return ioctl(ends[0], SIOCINQ, &unread) == 0 && unread == 0; });
    EXPECT_EQ(closing.size(), 1U);
    close(ends[1]);
    run_until([&] { return closing.size() == 0; });
}
