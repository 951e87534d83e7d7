// Reading sizes from /proc.
#include "entry/process_memory.hpp"

#include <cstring>
#include <filesystem>
#include <fstream>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

using namespace skylark;

namespace {

// A folder with files of /proc and /sys.
class memory_limits : public testing::Test {
protected:
    memory_limits() {
        m_root = std::filesystem::path{testing::TempDir()} /
                 ("memory-limits-" + std::to_string(getpid()));
        write("proc/meminfo", "MemTotal:\t 1024 kB\n");
    }
    ~memory_limits() override { std::filesystem::remove_all(m_root); }

    void write(const std::string& path, const std::string& text) const {
        const std::filesystem::path file = m_root / path;
        std::filesystem::create_directories(file.parent_path());
        std::ofstream{file} << text;
    }

    std::optional<std::uint64_t> read() const {
        return entry::read_machine_memory(m_root.string());
    }

    std::filesystem::path m_root;
};

} // namespace

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

TEST_F(memory_limits,
       a_limit_of_the_control_group_is_not_taken_for_the_machine) {
    write("proc/self/cgroup", "0::/site/entry\n");
    EXPECT_EQ(read(), 1024U * 1024U);
    write("sys/fs/cgroup/site/entry/memory.max", "max\n");
    EXPECT_EQ(read(), 1024U * 1024U);
    write("sys/fs/cgroup/site/entry/memory.max", "700000\n");
    EXPECT_EQ(read(), 700'000U);
    write("sys/fs/cgroup/site/memory.max", "600000\n");
    EXPECT_EQ(read(), 600'000U);
    write("sys/fs/cgroup/site/memory.max", "9223372036854771712\n");
    EXPECT_EQ(read(), 700'000U);
}

TEST_F(memory_limits, a_limit_of_version_1_counts) {
    write("proc/self/cgroup", "5:cpu,cpuacct:/a\n4:hugetlb,memory:/host/a\n");
    write("sys/fs/cgroup/memory/memory.limit_in_bytes", "800000\n");
    EXPECT_EQ(read(), 800'000U);
    write("sys/fs/cgroup/memory/host/a/memory.limit_in_bytes", "500000\n");
    EXPECT_EQ(read(), 500'000U);
}

TEST_F(memory_limits, a_limit_counts_where_the_machine_is_not_known) {
    write("proc/meminfo", "");
    write("proc/self/cgroup", "0::/\n");
    EXPECT_EQ(read(), std::nullopt);
    write("sys/fs/cgroup/memory.max", "800000\n");
    EXPECT_EQ(read(), 800'000U);
}
