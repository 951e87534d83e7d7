// Client of a store that supports blocking reads (long polls).
#include "store/polling_client.hpp"

#include <utility>

#include <skylark/config/config.hpp>

#include "core/overloaded.hpp"

namespace skylark::store {

namespace {

constexpr std::string_view document_key = "skylark/config";
constexpr std::size_t max_answer_bytes = 2 * defaults::document_bytes;
constexpr std::size_t most_told = 10; // odd instances of one answer

template <class Result, class Read>
Result convert(const io::fetch_result& from, Read read) {
    return std::visit(
        overloaded{
            [&](const io::fetch_answer& answer) -> Result {
                auto value = read(answer);
                if (value)
                    return Result{std::move(value).value()};
                return store_failure{true, value.error().text()};
            },
            [](const io::fetch_failure& failure) -> Result {
                return store_failure{failure.m_may_have_run, failure.m_cause};
            }},
        from);
}

} // namespace

polling_client::polling_client(io::event_loop& loop, address where,
                               odd_handler on_odd)
    : m_fetcher{loop, max_answer_bytes}, m_where{where}, m_on_odd{std::move(
                                                             on_odd)} {}

void polling_client::read(const store_position& index, duration wait,
                          std::function<void(const read_result&)> done) {
    auto request = m_protocol.get(document_key, index.m_revision, wait);
    request.m_to = m_where;
    m_fetcher.run(request, [protocol = m_protocol, done = std::move(done)](
                               const io::fetch_result& result) {
        done(convert<read_result>(result, [&](const auto& answer) {
            return protocol.read_value(answer);
        }));
    });
}

void polling_client::write(std::uint64_t revision, std::string text,
                           std::function<void(const write_result&)> done) {
    auto request = m_protocol.swap(document_key, revision, std::move(text));
    request.m_to = m_where;
    m_fetcher.run(request, [protocol = m_protocol, done = std::move(done)](
                               const io::fetch_result& result) {
        using either = std::variant<bool, store_failure>;
        const auto outcome = convert<either>(result, [&](const auto& answer) {
            return protocol.read_swap(answer);
        });
        if (const auto* failure = std::get_if<store_failure>(&outcome))
            done(*failure);
        else if (std::get<bool>(outcome))
            done(written{});
        else
            done(write_conflict{});
    });
}

void polling_client::instances(const store_position& index, duration wait,
                               std::function<void(const list_result&)> done) {
    auto request = m_protocol.instances(index.m_revision, wait);
    request.m_to = m_where;
    m_fetcher.run(request, [this, done = std::move(done)](
                               const io::fetch_result& result) {
        done(convert<list_result>(result, [&](const auto& answer) {
            std::set<std::string> odd;
            auto list =
                m_protocol.read_instances(answer, [&](const input_error& why) {
                    const bool fresh = odd.insert(why.text()).second &&
                                       !m_told.contains(why.text());
                    if (fresh && odd.size() <= most_told)
                        m_on_odd(why);
                });
            m_told = std::move(odd);
            return list;
        }));
    });
}

} // namespace skylark::store
