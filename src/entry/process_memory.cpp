// Memory of the process and of its machine, from /proc.
#include "entry/process_memory.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <fcntl.h>
#include <unistd.h>

namespace skylark::entry {

namespace {

constexpr std::uint64_t bytes_in_kb = 1024;
// A fifth of the memory of the smallest known instances, 160 MB.
constexpr std::uint64_t most_window_bytes = std::uint64_t{32} << 20U;

// The beginning of a file; empty if it can't be read.
std::string beginning_of(const char* path) {
    std::array<char, 4096> buffer{};
    const int descriptor = open(path, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return {};
    const auto size = read(descriptor, buffer.data(), buffer.size());
    close(descriptor);
    return size <= 0
               ? std::string{}
               : std::string{buffer.data(), static_cast<std::size_t>(size)};
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

std::optional<std::uint64_t> read_machine_memory() {
    return size_in(beginning_of("/proc/meminfo"), "MemTotal:");
}

std::size_t receive_window_bytes(std::optional<std::uint64_t> machine) {
    constexpr std::uint64_t parts = 5;
    return machine ? std::min(most_window_bytes, *machine / parts)
                   : most_window_bytes;
}

} // namespace skylark::entry
