// Client of a key-value store with many records: keeps a mirror up to date.
#include "store/mirror_client.hpp"

#include <algorithm>
#include <utility>

#include <skylark/config/config.hpp>

#include "core/overloaded.hpp"

namespace skylark::store {

namespace {

// Empty prefix: one call lists or watches all keys.
constexpr std::string_view all_keys;
constexpr auto min_wait = milliseconds{100};
constexpr auto prompt_retry_wait = milliseconds{50};
// Changes come in bursts; the delay lets one call return several of them.
constexpr auto batch_delay = milliseconds{250};
constexpr std::size_t max_answer_bytes = std::size_t{8} << 20U;
// No store holds this many pages; protects against a listing that never ends.
constexpr std::size_t max_pages = 1000;
constexpr std::size_t most_told = 10; // odd items of one answer
constexpr auto earlier_era = "an answer from before the store was restored";

} // namespace

mirror_client::mirror_client(io::event_loop& loop, address where,
                             platform::deployment_terms terms,
                             duration max_read_wait,
                             std::function<void(const input_error&)> on_invalid,
                             const lapse_timing& timing)
    : m_loop{loop}, m_fetcher{loop, max_answer_bytes}, m_where{where},
      m_terms{std::move(terms)}, m_on_invalid{std::move(on_invalid)},
      m_max_read_wait{max_read_wait}, m_mirror{std::string{
                                                   platform::upstream_prefix},
                                               timing} {}

void mirror_client::read(const store_position& index, duration wait,
                         std::function<void(const read_result&)> done) {
    m_document_reads.push_back(
        {index, io::event_loop::now() + wait, std::move(done)});
    start_next_call();
}

void mirror_client::instances(const store_position& index, duration wait,
                              std::function<void(const list_result&)> done) {
    m_list_reads.push_back(
        {index, io::event_loop::now() + wait, std::move(done)});
    start_next_call();
}

void mirror_client::write(
    std::uint64_t, const std::string&,
    const std::function<void(const write_result&)>& done) {
    const store_failure failure{false, "operators write this configuration"};
    m_loop.after(duration{0}, [done, failure] { done(failure); });
}

duration mirror_client::retry_wait(time_point now) const {
    return lost(now) ? duration{defaults::store_retry_wait}
                     : duration{prompt_retry_wait};
}

bool mirror_client::idle() const {
    return m_document_reads.empty() && m_list_reads.empty();
}

// Starts the next call, unless one is in progress or no read is pending.
void mirror_client::start_next_call() {
    if (m_call_in_progress || m_batching || idle())
        return;
    m_call_in_progress = true;
    if (m_listed) {
        request_changes();
        return;
    }
    m_mirror.begin_listing();
    m_call_start = io::event_loop::now();
    m_page_count = 0;
    request_page({});
}

void mirror_client::request_page(const std::string& after) {
    auto request = m_protocol.range(all_keys, after);
    request.m_to = m_where;
    m_reachability.call_started(io::event_loop::now(), duration{0});
    m_fetcher.run(
        request, [this](const io::fetch_result& got) { handle_page(got); },
        [this] { m_reachability.call_progressed(io::event_loop::now()); });
}

void mirror_client::handle_page(const io::fetch_result& got) {
    const auto* answer = std::get_if<io::fetch_answer>(&got);
    if (!answer) {
        fail_reads(std::get<io::fetch_failure>(got).m_cause);
        return;
    }
    const auto page = m_protocol.read_page(*answer);
    if (!page || ++m_page_count > max_pages) {
        fail_reads(page ? "the listing has too many pages"
                        : page.error().text());
        return;
    }
    m_reachability.call_succeeded(io::event_loop::now());
    const std::uint64_t era =
        m_protocol.read_era(*answer).value_or(m_mirror.era());
    if (era < m_mirror.era()) {
        fail_reads(earlier_era);
        return;
    }
    if (era > m_mirror.era()) {
        begin_era(era);
        // The pages before were those of the earlier era.
        if (m_page_count > 1) {
            start_next_call();
            return;
        }
        m_call_in_progress = true;
    }
    tell_odd(page.value().m_odd);
    m_mirror.add_page(page.value());
    const auto& records = page.value().m_records;
    if (page.value().m_more && !records.empty()) {
        request_page(records.back().m_key);
        return;
    }
    const time_point now = io::event_loop::now();
    m_mirror.call_succeeded(now);
    m_mirror.end_listing(now);
    m_confirmed_at = m_call_start;
    m_listed = true;
    m_call_in_progress = false;
    complete_reads(now);
}

duration mirror_client::next_wait(time_point now) const {
    time_point first = time_point::max();
    for (const auto& item : m_document_reads)
        first = std::min(first, item.m_deadline);
    for (const auto& item : m_list_reads)
        first = std::min(first, item.m_deadline);
    return std::max<duration>(min_wait, first - now);
}

void mirror_client::request_changes() {
    const time_point now = io::event_loop::now();
    m_call_start = now;
    // An answer at once shows whether the store works.
    m_call_wait = m_reachability.last_call_failed() ? min_wait : next_wait(now);
    auto request = m_protocol.watch(all_keys, m_mirror.revision(), m_call_wait);
    request.m_to = m_where;
    m_reachability.call_started(now, m_call_wait);
    m_fetcher.run(
        request, [this](const io::fetch_result& got) { handle_changes(got); },
        [this] { m_reachability.call_progressed(io::event_loop::now()); });
}

void mirror_client::handle_changes(const io::fetch_result& got) {
    const auto* answer = std::get_if<io::fetch_answer>(&got);
    if (!answer) {
        fail_reads(std::get<io::fetch_failure>(got).m_cause);
        return;
    }
    const auto changes = m_protocol.read_changes(*answer);
    if (!changes) {
        fail_reads(changes.error().text());
        return;
    }
    const std::uint64_t era =
        m_protocol.read_era(*answer).value_or(m_mirror.era());
    if (era < m_mirror.era()) {
        fail_reads(earlier_era);
        return;
    }
    const time_point now = io::event_loop::now();
    m_reachability.call_succeeded(now);
    m_mirror.call_succeeded(now);
    m_call_in_progress = false;
    // The changes are those after a revision that this era may give out again.
    if (era > m_mirror.era()) {
        begin_era(era);
        start_next_call();
        return;
    }
    std::visit(overloaded{[&](const record_changes& list) {
                              // Without changes the store blocked for the whole
                              // wait, so the mirror was current at its end.
                              m_confirmed_at =
                                  m_call_start +
                                  (list.m_records.empty() && list.m_odd.empty()
                                       ? m_call_wait
                                       : duration{0});
                              tell_odd(list.m_odd);
                              m_mirror.apply(list, now);
                          },
                          [&](const history_lost&) { m_listed = false; }},
               changes.value());
    // Delays the next call even if new reads arrive at once.
    m_batching = m_listed;
    if (m_batching)
        m_loop.after(batch_delay, [this] {
            m_batching = false;
            start_next_call();
        });
    if (m_listed)
        complete_reads(now);
    start_next_call();
}

void mirror_client::tell_odd(std::span<const input_error> items) {
    for (const input_error& item :
         items.first(std::min(items.size(), most_told)))
        m_on_invalid(item);
}

// The store was restored from a copy; everything that was read before is void.
void mirror_client::begin_era(std::uint64_t era) {
    m_mirror.begin_era(era);
    m_document.reset();
    m_rollout_revision = 0;
    m_decoded.clear();
    m_list = {};
    m_listed = false;
    m_call_in_progress = false;
}

// Fails all pending reads; the next read starts the next call.
void mirror_client::fail_reads(const std::string& cause) {
    m_mirror.call_failed();
    m_reachability.call_failed(io::event_loop::now());
    m_call_in_progress = false;
    const auto documents = std::exchange(m_document_reads, {});
    const auto lists = std::exchange(m_list_reads, {});
    for (const auto& item : documents)
        item.m_done(store_failure{false, cause});
    for (const auto& item : lists)
        item.m_done(store_failure{false, cause});
}

// Completes the reads for which there is a later version or whose deadline has
// passed; the store has just confirmed the mirror's state.
void mirror_client::complete_reads(time_point confirmed) {
    m_mirror.apply_due_removals(confirmed);
    schedule_removals();
    const auto extract = [&](auto& reads, const store_position& version) {
        const auto is_waiting = [&](const auto& item) {
            return item.m_index >= version && confirmed < item.m_deadline;
        };
        const auto split =
            std::stable_partition(reads.begin(), reads.end(), is_waiting);
        std::decay_t<decltype(reads)> out{std::make_move_iterator(split),
                                          std::make_move_iterator(reads.end())};
        reads.erase(split, reads.end());
        return out;
    };
    const auto documents = extract(m_document_reads, document_position());
    const auto lists = extract(m_list_reads, list_version());
    for (const auto& item : documents)
        item.m_done(document_value());
    for (const auto& item : lists)
        item.m_done(instance_value());
    start_next_call();
}

// A delayed removal takes effect when it is due, without another answer from
// the store.
void mirror_client::schedule_removals() {
    const auto due = m_mirror.next_removal_due();
    if (!due)
        return;
    const duration left = *due - io::event_loop::now();
    m_loop.after(std::max(duration{0}, left), [this] {
        const auto before = list_version();
        m_mirror.apply_due_removals(io::event_loop::now());
        if (list_version() != before)
            complete_reads(io::event_loop::now());
    });
}

} // namespace skylark::store
