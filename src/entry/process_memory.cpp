// Memory of the process and of its machine, from /proc and control groups.
#include "entry/process_memory.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

namespace skylark::entry {

namespace {

constexpr std::uint64_t bytes_in_kb = 1024;
// A fifth of the memory of the smallest known instances, 160 MB.
constexpr std::uint64_t most_window_bytes = std::uint64_t{32} << 20U;

// The beginning of a file; empty if it can't be read.
std::string beginning_of(const std::string& path) {
    std::array<char, 4096> buffer{};
    const int descriptor = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return {};
    const auto size = read(descriptor, buffer.data(), buffer.size());
    close(descriptor);
    return size <= 0
               ? std::string{}
               : std::string{buffer.data(), static_cast<std::size_t>(size)};
}

constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();

// A file without a number, such as "max", sets no limit.
std::uint64_t limit_in(const std::string& path) {
    const std::string text = beginning_of(path);
    std::uint64_t limit = unlimited;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), limit);
    return read.ec == std::errc{} ? limit : unlimited;
}

// A group is bound by those around it as well. In a container its path may be
// that of the host, of which only the last part is mounted.
std::uint64_t least_limit(const std::string& mount, std::string_view group,
                          const char* file) {
    std::uint64_t least = unlimited;
    while (!group.empty()) {
        least =
            std::min(least, limit_in(mount + std::string{group} + "/" + file));
        group = group.substr(0, std::min(group.rfind('/'), group.size() - 1));
    }
    return std::min(least, limit_in(mount + "/" + file));
}

// Lines are "number:controllers:path"; version 2 names no controllers.
std::uint64_t group_limit(const std::string& root) {
    const std::string mount = root + "/sys/fs/cgroup";
    std::istringstream groups{beginning_of(root + "/proc/self/cgroup")};
    std::uint64_t least = unlimited;
    std::string line;
    while (std::getline(groups, line)) {
        const std::size_t first = line.find(':');
        const std::size_t second = line.find(':', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            continue;
        const std::string names = line.substr(first + 1, second - first - 1);
        const std::string_view group =
            std::string_view{line}.substr(second + 1);
        if (names.empty())
            least = std::min(least, least_limit(mount, group, "memory.max"));
        else if (("," + names + ",").find(",memory,") != std::string::npos)
            least = std::min(least, least_limit(mount + "/memory", group,
                                                "memory.limit_in_bytes"));
    }
    return least;
}

} // namespace

std::optional<std::uint64_t> size_in(std::string_view text,
                                     std::string_view key) {
    std::size_t at = text.find(key);
    while (at != std::string_view::npos && at != 0 && text[at - 1] != '\n')
        at = text.find(key, at + 1);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::size_t digits = text.find_first_not_of(" \t", at + key.size());
    if (digits == std::string_view::npos)
        return std::nullopt;
    const std::string_view rest = text.substr(digits);
    std::uint64_t kilobytes = 0;
    const auto read =
        std::from_chars(rest.data(), rest.data() + rest.size(), kilobytes);
    if (read.ec != std::errc{})
        return std::nullopt;
    return kilobytes * bytes_in_kb;
}

std::optional<memory_use> read_memory_use() {
    const std::string text = beginning_of("/proc/self/status");
    const auto resident = size_in(text, "VmRSS:");
    const auto peak = size_in(text, "VmHWM:");
    if (!resident || !peak)
        return std::nullopt;
    return memory_use{*resident, *peak};
}

std::optional<std::uint64_t> read_machine_memory(const std::string& root) {
    const auto machine =
        size_in(beginning_of(root + "/proc/meminfo"), "MemTotal:");
    const std::uint64_t least =
        std::min(machine.value_or(unlimited), group_limit(root));
    return least == unlimited ? std::nullopt : std::optional{least};
}

std::size_t receive_window_bytes(std::optional<std::uint64_t> machine) {
    constexpr std::uint64_t parts = 5;
    return machine ? std::min(most_window_bytes, *machine / parts)
                   : most_window_bytes;
}

} // namespace skylark::entry
