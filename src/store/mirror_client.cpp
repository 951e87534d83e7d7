// Client of a store of many keys: keeps a mirror and follows the changes.
#include "store/mirror_client.hpp"

#include <algorithm>
#include <utility>

#include <skylark/config/config.hpp>

#include "core/overloaded.hpp"

namespace skylark::store {

namespace {

// Listings and changes are asked for with one call for all keys.
constexpr std::string_view all_keys;
// Living upstreams are back in the store this long after its return.
constexpr auto removal_hold = milliseconds{2200};
constexpr auto shortest_wait = milliseconds{100};
// Changes come in bursts; one call takes what gathered meanwhile.
constexpr auto gathering_time = milliseconds{250};
constexpr std::size_t answer_limit = std::size_t{8} << 20U; // bytes
// More pages than any store holds: such a listing never ends.
constexpr std::size_t most_pages = 1000;

} // namespace

mirror_client::mirror_client(io::event_loop& loop, address where,
                             platform::deployment_terms terms,
                             duration longest_read,
                             std::function<void(const input_error&)> note)
    : m_loop{loop}, m_fetcher{loop, answer_limit}, m_where{where},
      m_terms{std::move(terms)}, m_note{std::move(note)},
      m_longest_read{longest_read}, m_mirror{
                                        std::string{platform::upstream_prefix},
                                        removal_hold} {}

void mirror_client::read(std::uint64_t index, duration wait,
                         std::function<void(const read_result&)> done) {
    m_document_readers.push_back(
        {index, io::event_loop::now() + wait, std::move(done)});
    advance();
}

void mirror_client::instances(std::uint64_t index, duration wait,
                              std::function<void(const list_result&)> done) {
    m_list_readers.push_back(
        {index, io::event_loop::now() + wait, std::move(done)});
    advance();
}

void mirror_client::write(
    std::uint64_t, const std::string&,
    const std::function<void(const write_result&)>& done) {
    const store_failure failure{false, "operators write this configuration"};
    m_loop.after(duration{0}, [done, failure] { done(failure); });
}

bool mirror_client::idle() const {
    return m_document_readers.empty() && m_list_readers.empty();
}

// Starts the next call, unless one is under way or nobody waits.
void mirror_client::advance() {
    if (m_calling || m_gathering || idle())
        return;
    m_calling = true;
    if (m_listed) {
        watch();
        return;
    }
    m_mirror.begin_listing();
    m_called = io::event_loop::now();
    m_pages = 0;
    list({});
}

void mirror_client::list(const std::string& after) {
    auto request = m_protocol.range(all_keys, after);
    request.m_to = m_where;
    m_reach.call_started(io::event_loop::now(), duration{0});
    m_fetcher.run(request,
                  [this](const io::fetch_result& got) { take_page(got); });
}

void mirror_client::take_page(const io::fetch_result& got) {
    const auto* answer = std::get_if<io::fetch_answer>(&got);
    if (!answer) {
        failed(std::get<io::fetch_failure>(got).m_cause);
        return;
    }
    const auto page = m_protocol.read_page(*answer);
    if (!page || ++m_pages > most_pages) {
        failed(page ? "a listing without an end" : page.error().text());
        return;
    }
    m_reach.call_succeeded();
    m_mirror.list(page.value());
    const auto& records = page.value().m_records;
    if (page.value().m_more && !records.empty()) {
        list(records.back().m_key);
        return;
    }
    const time_point now = io::event_loop::now();
    m_mirror.reached(now);
    m_mirror.end_listing(now);
    m_confirmed = m_called;
    m_listed = true;
    m_calling = false;
    serve(now);
}

duration mirror_client::longest_wait(time_point now) const {
    time_point first = time_point::max();
    for (const auto& item : m_document_readers)
        first = std::min(first, item.m_due);
    for (const auto& item : m_list_readers)
        first = std::min(first, item.m_due);
    return std::max<duration>(shortest_wait, first - now);
}

void mirror_client::watch() {
    const time_point now = io::event_loop::now();
    m_called = now;
    m_wait = longest_wait(now);
    auto request = m_protocol.watch(all_keys, m_mirror.revision(), m_wait);
    request.m_to = m_where;
    m_reach.call_started(now, m_wait);
    m_fetcher.run(request,
                  [this](const io::fetch_result& got) { take_changes(got); });
}

void mirror_client::take_changes(const io::fetch_result& got) {
    const auto* answer = std::get_if<io::fetch_answer>(&got);
    if (!answer) {
        failed(std::get<io::fetch_failure>(got).m_cause);
        return;
    }
    const auto changes = m_protocol.read_changes(*answer);
    if (!changes) {
        failed(changes.error().text());
        return;
    }
    const time_point now = io::event_loop::now();
    m_reach.call_succeeded();
    m_mirror.reached(now);
    m_calling = false;
    std::visit(overloaded{[&](const record_changes& list) {
                              // Without changes the store has waited before it
                              // answered.
                              m_confirmed = m_called + (list.m_records.empty()
                                                            ? m_wait
                                                            : duration{0});
                              m_mirror.apply(list, now);
                          },
                          [&](const history_lost&) { m_listed = false; }},
               changes.value());
    // The next call waits a little, also when readers ask for it at once.
    m_gathering = m_listed;
    if (m_gathering)
        m_loop.after(gathering_time, [this] {
            m_gathering = false;
            advance();
        });
    if (m_listed)
        serve(now);
    advance();
}

// Each reader is told; whoever asks again later starts the next call.
void mirror_client::failed(const std::string& cause) {
    m_mirror.lost();
    m_reach.call_failed();
    m_calling = false;
    const auto documents = std::exchange(m_document_readers, {});
    const auto lists = std::exchange(m_list_readers, {});
    for (const auto& item : documents)
        item.m_done(store_failure{false, cause});
    for (const auto& item : lists)
        item.m_done(store_failure{false, cause});
}

// Tells the readers for whom there is something newer, or who waited long
// enough; the store has just confirmed what they get.
void mirror_client::serve(time_point confirmed) {
    m_mirror.settle(confirmed);
    settle_later();
    const auto take = [&](auto& readers, std::uint64_t version) {
        const auto waits = [&](const auto& item) {
            return item.m_index >= version && confirmed < item.m_due;
        };
        const auto split =
            std::stable_partition(readers.begin(), readers.end(), waits);
        std::decay_t<decltype(readers)> out{
            std::make_move_iterator(split),
            std::make_move_iterator(readers.end())};
        readers.erase(split, readers.end());
        return out;
    };
    const auto documents =
        take(m_document_readers, m_mirror.changed(platform::operator_prefix));
    const auto lists = take(m_list_readers, list_version());
    for (const auto& item : documents)
        item.m_done(document_value());
    for (const auto& item : lists)
        item.m_done(instance_value());
    advance();
}

// A held removal becomes known when its hold ends, without another answer.
void mirror_client::settle_later() {
    const auto due = m_mirror.next_due();
    if (!due)
        return;
    const duration left = *due - io::event_loop::now();
    m_loop.after(std::max(duration{0}, left), [this] {
        const auto before = list_version();
        m_mirror.settle(io::event_loop::now());
        if (list_version() != before)
            serve(io::event_loop::now());
    });
}

} // namespace skylark::store
