// Memory of the process and of its machine, from /proc and control groups.
#ifndef SKYLARK_ENTRY_PROCESS_MEMORY_HPP
#define SKYLARK_ENTRY_PROCESS_MEMORY_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylark::entry {

/*! @brief Memory of a process. */
struct memory_use {
    std::uint64_t m_resident{}; //!< bytes
    std::uint64_t m_peak{};     //!< largest resident size so far, in bytes
};

/*! @brief Finds a size in kB in a file of /proc, such as "VmRSS:  9 kB".
 *  @param text of the file
 *  @param key with its colon, at the begin of a line
 *  @return bytes, or nothing if there is no such line or number */
std::optional<std::uint64_t> size_in(std::string_view text,
                                     std::string_view key);

/*! @brief Reads the memory of this process.
 *  @return nothing if /proc can't be read */
std::optional<memory_use> read_memory_use();

/*! @brief Reads the memory that this process may use, in bytes: the machine's,
 *  or less where a control group (version 1 or 2) limits it.
 *  @param root folder that holds /proc and /sys
 *  @return nothing if neither can be read */
std::optional<std::uint64_t> read_machine_memory(const std::string& root = {});

/*! @brief Memory that the kernel may use for input of callers and upstreams
 *  that the process has not read, besides the first part of each connection.
 *  @param machine bytes of its memory, none if not known */
std::size_t receive_window_bytes(std::optional<std::uint64_t> machine);

} // namespace skylark::entry

#endif
