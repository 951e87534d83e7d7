// What a run of the load stand-in has measured.
#ifndef STANDIN_LOAD_RESULT_HPP
#define STANDIN_LOAD_RESULT_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/core/histogram.hpp>

namespace standin {

/*! @brief How a call ended for its caller. */
enum class call_end : std::uint8_t {
    answered,
    failed,  //!< a whole answer with a status from 500 up
    not_run, //!< refused with the promise that it did not run
    unknown, //!< refused without that promise, or the connection broke
    broken   //!< the answer broke off
};

inline constexpr std::array<std::string_view, 5> call_end_names{
    "answered", "failed", "not_run", "unknown", "broken"};

/*! @brief Calls of one second. */
struct second_result {
    skylark::histogram m_latency;
    std::array<std::uint64_t, call_end_names.size()> m_ends{};
};

/*! @brief Calls of one flow. */
struct flow_result {
    skylark::histogram m_latency; //!< answered ones, from intended time
    std::array<std::uint64_t, call_end_names.size()> m_ends{};
    std::uint64_t m_repeated{}; //!< tried again on another entry
    std::vector<second_result> m_seconds;

    void add(call_end how, skylark::duration took, std::size_t second);
};

/*! @brief Executions of keyed requests, against what callers were told. */
struct ledger_result {
    std::uint64_t m_keys{};
    std::uint64_t m_doubled{};        //!< executed more than once
    std::uint64_t m_false_refusals{}; //!< told not-run, but executed
    std::uint64_t m_lost{};           //!< told answered, but not executed
};

/*! @brief The whole run. */
struct load_result {
    std::map<std::string, flow_result> m_flows;
    std::map<std::string, call_end> m_keys; //!< keyed requests
    ledger_result m_ledger;
    std::uint64_t m_wrong_answers{}; //!< whole, but of another request

    /*! @brief Compares with the files that the upstreams wrote.
     *  @param folder holds one file for each upstream */
    void check_ledger(const std::string& folder);

    [[nodiscard]] std::string table() const;
    [[nodiscard]] std::string json() const;
};

} // namespace standin

#endif
