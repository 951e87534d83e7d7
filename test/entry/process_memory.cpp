// Reading sizes from /proc.
#include "entry/process_memory.hpp"

#include <cstring>
#include <vector>

#include <gtest/gtest.h>

using namespace skylark;

TEST(process_memory, sizes_are_found_at_the_begin_of_a_line) {
    constexpr std::string_view text = "Name:\tVmRSS: 1 kB\n"
                                      "VmHWM:\t    2048 kB\n"
                                      "VmRSS:\t     512 kB\n";
    EXPECT_EQ(entry::size_in(text, "VmRSS:"), 512U * 1024U);
    EXPECT_EQ(entry::size_in(text, "VmHWM:"), 2048U * 1024U);
}

TEST(process_memory, text_without_a_size_gives_none) {
    EXPECT_EQ(entry::size_in("", "VmRSS:"), std::nullopt);
    EXPECT_EQ(entry::size_in("VmRSS:", "VmRSS:"), std::nullopt);
    EXPECT_EQ(entry::size_in("VmRSS: many kB\n", "VmRSS:"), std::nullopt);
    EXPECT_EQ(entry::size_in("VmHWM: 1 kB\n", "VmRSS:"), std::nullopt);
}

TEST(process_memory, the_peak_stays_when_memory_is_released) {
    constexpr std::size_t size = std::size_t{64} << 20U;
    const auto before = entry::read_memory_use();
    ASSERT_TRUE(before);
    {
        std::vector<char> used(size);
        std::memset(used.data(), 1, used.size());
        const auto during = entry::read_memory_use();
        ASSERT_TRUE(during);
        EXPECT_GE(during->m_resident, size);
    }
    const auto after = entry::read_memory_use();
    ASSERT_TRUE(after);
    EXPECT_LT(after->m_resident, after->m_peak);
    EXPECT_GE(after->m_peak, size);
    EXPECT_GE(entry::read_machine_memory().value_or(0), after->m_resident);
}

TEST(process_memory, receive_windows_leave_room_on_small_machines) {
    constexpr std::uint64_t mb = std::uint64_t{1} << 20U;
    EXPECT_EQ(entry::receive_window_bytes(100 * mb), 20U * mb);
    EXPECT_EQ(entry::receive_window_bytes(32768 * mb), 32U * mb);
    EXPECT_EQ(entry::receive_window_bytes(std::nullopt), 32U * mb);
}
