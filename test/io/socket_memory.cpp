// Memory that the kernel keeps for sockets.
#include "io/socket_memory.hpp"

#include <string>
#include <unistd.h>

#include <gtest/gtest.h>

#include "io/native.hpp"
#include "test/io/raw_caller.hpp"

using namespace skylark;

namespace {

// A connection whose ends stay unread.
class socket_memory : public testing::Test {
protected:
    socket_memory() : m_listener{socket(AF_INET, SOCK_STREAM, 0)} {
        sockaddr_in name = io::internal::to_native({0x7f000001U, 0});
        bind(m_listener, reinterpret_cast<sockaddr*>(&name), sizeof name);
        listen(m_listener, 1);
    }
    ~socket_memory() override { close(m_listener); }

    int m_listener;
};

} // namespace

TEST_F(socket_memory, holds_what_neither_end_has_read) {
    constexpr std::size_t sent = std::size_t{100} << 10U;
    const test::raw_caller caller{io::internal::local_address(m_listener)};
    const int accepted = accept(m_listener, nullptr, nullptr);
    ASSERT_GE(accepted, 0);
    EXPECT_LT(io::internal::socket_memory(accepted), sent);
    std::string bytes(sent, 'x');
    while (!bytes.empty() && caller.write_some(bytes)) {
    }
    EXPECT_GE(io::internal::socket_memory(accepted), sent);
    close(accepted);
}

TEST_F(socket_memory, a_descriptor_of_another_kind_has_none) {
    EXPECT_EQ(io::internal::socket_memory(-1), 0U);
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    EXPECT_EQ(io::internal::socket_memory(ends[0]), 0U);
    close(ends[0]);
    close(ends[1]);
}
