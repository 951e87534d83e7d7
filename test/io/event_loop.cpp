// Order of an iteration of the event loop: sockets, due timers, and what these
// cause.
#include <array>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <gtest/gtest.h>

#include "io/event_loop.hpp"
#include "io/native.hpp"

using namespace skylark;

namespace {

// A socket of the loop under test and the peer that reads what it writes.
class event_loop_test : public testing::Test {
protected:
    event_loop_test() {
        std::array<int, 2> pair{};
        socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data());
        m_peer = pair[1];
        m_socket = h2o_evloop_socket_create(m_loop.native(), pair[0],
                                            H2O_SOCKET_FLAG_DONT_READ);
        m_socket->data = this;
    }
    ~event_loop_test() override {
        h2o_socket_close(m_socket);
        close(m_peer);
    }

    // Writes a number of bytes.
    void write(std::size_t size) {
        m_bytes.assign(size, 'x');
        auto buffer = h2o_iovec_init(m_bytes.data(), m_bytes.size());
        h2o_socket_write(m_socket, &buffer, 1, &on_write);
    }

    static void on_write(h2o_socket_t* socket, const char* /*error*/) {
        auto& self = *static_cast<event_loop_test*>(socket->data);
        ++self.m_written;
        if (self.m_on_written)
            self.m_on_written();
    }

    void drain() const {
        std::array<char, std::size_t{64} << 10U> piece{};
        while (recv(m_peer, piece.data(), piece.size(), MSG_DONTWAIT) > 0) {
        }
    }

    // Turns the loop until a number of writes was reported.
    void turn_until_written(int count, const std::function<void()>& between) {
        for (int i = 0; i < 1000 && m_written < count; ++i) {
            m_loop.run_once(milliseconds{1});
            between();
        }
        ASSERT_GE(m_written, count);
    }

    io::event_loop m_loop;
    int m_peer{-1};
    h2o_socket_t* m_socket{};
    std::string m_bytes;
    std::function<void()> m_on_written;
    int m_written{};
};

// The kernel takes a write of this size in parts, as it exceeds the buffer.
constexpr std::size_t in_parts = std::size_t{1} << 20U;

class write_from_a_timer : public event_loop_test,
                           public testing::WithParamInterface<std::size_t> {};

} // namespace

// The loop went on polling for a write that was done, and the event that came
// when the peer drained the buffer ended the process.
TEST_P(write_from_a_timer, behind_a_partial_write_does_not_end_the_process) {
    m_on_written = [this] {
        if (m_written > 1)
            return;
        drain();
        m_loop.after(duration{0}, [this] { write(GetParam()); });
    };
    write(in_parts);
    turn_until_written(1, [this] {
        if (m_written == 0)
            drain();
    });
    turn_until_written(2, [] {});
    drain();
    for (int i = 0; i < 3; ++i)
        m_loop.run_once(milliseconds{1});
    EXPECT_EQ(m_written, 2);
}

INSTANTIATE_TEST_SUITE_P(event_loop, write_from_a_timer,
                         testing::Values(1000, 60'000, 120'000, 150'000,
                                         200'000));

// A write that the kernel has taken was reported after the next wait for an
// event.
TEST_F(event_loop_test, a_write_from_a_timer_is_reported_without_a_wait) {
    m_loop.after(milliseconds{1}, [this] { write(1); });
    const time_point began = io::event_loop::now();
    for (int i = 0; i < 10 && m_written == 0; ++i)
        m_loop.run_once(seconds{1});
    EXPECT_EQ(m_written, 1);
    EXPECT_LT(io::event_loop::now() - began, milliseconds{500});
}

// A process that stands still could not be told from one that waits.
TEST_F(event_loop_test, work_is_measured_without_the_wait_for_an_event) {
    m_loop.after(milliseconds{600},
                 [] { std::this_thread::sleep_for(milliseconds{150}); });
    const time_point began = io::event_loop::now();
    while (io::event_loop::now() - began < milliseconds{700})
        m_loop.run_once(seconds{1});
    const io::loop_work work = m_loop.take_work();
    EXPECT_GE(work.m_longest, milliseconds{140});
    EXPECT_LT(work.m_longest, milliseconds{600});
    EXPECT_GE(work.m_slow, 1U);
    EXPECT_EQ(m_loop.take_work().m_slow, 0U);
}

TEST_F(event_loop_test, a_wait_is_no_work) {
    m_loop.run_once(milliseconds{600});
    EXPECT_LT(m_loop.take_work().m_longest, milliseconds{400});
}
