// Runs operators' changes against the platform's store.
#include "entry/changer.hpp"

#include <memory>
#include <utility>

#include <skylark/command/apply.hpp>

#include "core/overloaded.hpp"

namespace skylark::entry {

namespace {
constexpr int most_tries = 12;
constexpr auto try_again = milliseconds{150};
} // namespace

void changer::run(const change_statement& what, std::uint64_t if_revision,
                  const std::string& change_id, callback done) {
    std::string id = change_id;
    if (id.empty())
        id = m_shared.m_settings.m_name + '-' +
             std::to_string(journal::wall_ms()) + '-' +
             std::to_string(++m_count);
    read(std::make_shared<change>(
        change{what, if_revision, std::move(id), std::move(done)}));
}

bool changer::give_up(const change_ptr& of) {
    return ++of->m_tries > most_tries;
}

void changer::read(const change_ptr& of) {
    m_configurator.store().read(
        0, duration{0}, [this, of](const store::read_result& result) {
            std::visit(overloaded{[&](const store::stored_value& value) {
                                      try_on(of, value);
                                  },
                                  [&](const store::store_failure& failure) {
                                      failed(of, failure.m_cause);
                                  }},
                       result);
        });
}

void changer::try_on(const change_ptr& of, const store::stored_value& base) {
    // A store that went back in time must not make operators go back.
    const std::uint64_t revision = base.m_position.m_revision;
    if (base.m_position < m_shared.m_config.position()) {
        failed(of,
               "the store returned old revision " + std::to_string(revision));
        return;
    }
    document current;
    if (base.m_position.known()) {
        const auto read = parse_document(base.m_text);
        if (!read) {
            of->m_done(change_rejected{read.error(), revision});
            return;
        }
        current = read.value();
    }
    if (current.has_change(of->m_id)) {
        m_configurator.offer(base.m_position, base.m_text, "own write");
        of->m_done(change_accepted{revision});
        return;
    }
    if (of->m_if_revision != 0 && of->m_if_revision != revision) {
        of->m_done(change_rejected{
            {"revision", std::to_string(of->m_if_revision),
             std::to_string(revision) + ", which is in force, made by " +
                 current.m_change_id},
            revision});
        return;
    }
    auto next = apply(current, of->m_what, m_shared.m_instances);
    if (!next) {
        of->m_done(change_rejected{next.error(), revision});
        return;
    }
    next.value().begin_change(of->m_id);
    std::string text = format_document(next.value());
    if (text.size() > defaults::document_bytes) {
        of->m_done(change_rejected{
            {"document", std::to_string(text.size()) + " bytes",
             "at most " + std::to_string(defaults::document_bytes)},
            revision});
        return;
    }
    m_configurator.store().write(revision, std::move(text),
                                 [this, of](const store::write_result& result) {
                                     written_result(of, result);
                                 });
}

// In each case the document is read back: it tells whether the change is in
// it, also when the answer of the write was lost.
void changer::written_result(const change_ptr& of,
                             const store::write_result& result) {
    if (const auto* failure = std::get_if<store::store_failure>(&result)) {
        of->m_may_be_written |= failure->m_may_have_run;
        failed(of, failure->m_cause);
        return;
    }
    if (std::holds_alternative<store::written>(result)) {
        of->m_may_be_written = true;
        read(of);
        return;
    }
    again(of);
}

void changer::failed(const change_ptr& of, const std::string& cause) {
    if (!give_up(of)) {
        m_shared.m_loop.after(try_again, [this, of] { read(of); });
        return;
    }
    if (of->m_may_be_written)
        of->m_done(change_unknown{cause + "; change id " + of->m_id});
    else
        of->m_done(change_not_made{cause});
}

void changer::again(const change_ptr& of) {
    if (give_up(of))
        of->m_done(change_not_made{"other changes were always faster"});
    else
        read(of);
}

} // namespace skylark::entry
