// Parser of the operators' command language.
#include <skylark/command/parse.hpp>

#include <array>

#include "command/grammar.hpp"
#include "core/foreign_text.hpp"

namespace skylark {

namespace internal {

namespace peg = tao::pegtl;

constexpr std::array<std::pair<std::string_view, show_subject>, 11> subjects{{
    {"services", show_subject::services},
    {"zones", show_subject::zones},
    {"rules", show_subject::rules},
    {"limits", show_subject::limits},
    {"upstreams", show_subject::upstreams},
    {"entries", show_subject::entries},
    {"load", show_subject::load},
    {"shares", show_subject::shares},
    {"config", show_subject::config},
    {"events", show_subject::events},
    {"teams", show_subject::teams},
}};

constexpr std::array<std::pair<std::string_view, change_kind>, 6> kinds{{
    {"create", change_kind::create},
    {"alter", change_kind::alter},
    {"remove", change_kind::remove},
    {"drain", change_kind::drain},
    {"restore", change_kind::restore},
    {"set", change_kind::set},
}};

constexpr std::array<std::pair<std::string_view, change_target>, 3> targets{{
    {"zone", change_target::zone},
    {"service", change_target::service},
    {"rule", change_target::rule},
}};

template <class Table>
auto value_of(const Table& names, std::string_view text) {
    for (const auto& [name, value] : names)
        if (name == text)
            return value;
    return names.front().second;
}

// Statement under construction.
struct parse_result {
    statement m_statement;

    template <class Kind>
    Kind& as() {
        if (!std::holds_alternative<Kind>(m_statement))
            m_statement = Kind{};
        return std::get<Kind>(m_statement);
    }
    change_statement& change() { return as<change_statement>(); }
};

template <class Input>
located_text located(const Input& in) {
    std::string text = in.string();
    if (text.size() > 1 && text.front() == '"')
        text = text.substr(1, text.size() - 2);
    return {std::move(text), in.position().column};
}

template <class Rule>
struct action : peg::nothing<Rule> {};

template <>
struct action<grammar::subject> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.as<show_query>().m_subject = value_of(subjects, in.string());
    }
};

template <>
struct action<grammar::field> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.as<show_query>().m_filters.push_back({located(in), {}, {}});
    }
};

template <>
struct action<grammar::comparison> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.as<show_query>().m_filters.back().m_operator = in.string();
    }
};

template <>
struct action<grammar::filter_value> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.as<show_query>().m_filters.back().m_value = located(in).m_text;
    }
};

template <>
struct action<grammar::method> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.as<explain_query>().m_method = located(in).m_text;
    }
};

template <>
struct action<grammar::path> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.as<explain_query>().m_path = in.string();
    }
};

template <>
struct action<grammar::header_name> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.as<explain_query>().m_header = located(in).m_text;
    }
};

template <>
struct action<grammar::header_value> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.as<explain_query>().m_header_value = located(in).m_text;
    }
};

// Shared by both groups of verbs, which differ only in what may follow.
struct verb_action {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.change().m_kind = value_of(kinds, in.string());
    }
};
template <>
struct action<grammar::edit_verb> : verb_action {};
template <>
struct action<grammar::zone_verb> : verb_action {};
template <>
struct action<grammar::set_verb> {
    template <class Input>
    static void apply(const Input&, parse_result& out) {
        out.change().m_kind = change_kind::set;
        out.change().m_target = change_target::limits;
    }
};

struct target_action {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.change().m_target = value_of(targets, in.string());
    }
};
template <>
struct action<grammar::target> : target_action {};
template <>
struct action<grammar::zone_target> : target_action {};

template <>
struct action<grammar::name> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.change().m_name = located(in);
    }
};

struct key_action {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.change().m_assignments.push_back({located(in), {}});
    }
};
template <>
struct action<grammar::key> : key_action {};
template <>
struct action<grammar::set_key> : key_action {};

template <>
struct action<grammar::value> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.change().m_assignments.back().m_value = located(in);
    }
};

template <>
struct action<grammar::maybe_force> {
    template <class Input>
    static void apply(const Input& in, parse_result& out) {
        out.change().m_force = !in.empty();
    }
};

// What the error message says was expected where a grammar rule failed.
template <class Rule>
inline constexpr const char* expectation = nullptr;
template <>
inline constexpr auto expectation<grammar::any_statement> =
    "show, explain, create, alter, remove, drain, restore or set";
template <>
inline constexpr auto expectation<grammar::subject> =
    "services, zones, rules, limits, upstreams, entries, load, shares, "
    "config, events or teams";
template <>
inline constexpr auto expectation<grammar::end> =
    "the end of the statement, or where and and with FIELD OP VALUE";
template <>
inline constexpr auto expectation<grammar::gap> = "a space and more words";
template <>
inline constexpr auto expectation<grammar::field> = "a column's name";
template <>
inline constexpr auto expectation<grammar::comparison> = "=, !=, < or >";
template <>
inline constexpr auto expectation<grammar::filter_value> = "a value";
template <>
inline constexpr auto expectation<grammar::condition> = "FIELD OP VALUE";
template <>
inline constexpr auto expectation<grammar::request> = "request";
template <>
inline constexpr auto expectation<grammar::method> = "a method";
template <>
inline constexpr auto expectation<grammar::path> = "a path that begins with /";
template <>
inline constexpr auto expectation<grammar::header_name> = "a header's name";
template <>
inline constexpr auto expectation<grammar::header_value> = "a value";
template <>
inline constexpr auto expectation<grammar::target> = "zone, service or rule";
template <>
inline constexpr auto expectation<grammar::zone_target> = "zone";
template <>
inline constexpr auto expectation<grammar::name> = "a name";
template <>
inline constexpr auto expectation<grammar::set_key> = "a limit's name";
template <>
inline constexpr auto expectation<grammar::value> = "a value";
template <>
inline constexpr auto expectation<grammar::closing_quote> = "a closing \"";

template <class Rule>
struct control : peg::normal<Rule> {
    template <class Input, class... States>
    [[noreturn]] static void raise(const Input& in, States&&...) {
        const char* text = expectation<Rule>;
        throw peg::parse_error(text ? text : "another word", in);
    }
};

static constexpr std::size_t longest_excerpt = 200; // bytes in an error

static std::string rest_from(std::string_view line, std::size_t column) {
    if (column > line.size())
        return "the end of the line";
    return '"' + clean_text(line.substr(column - 1), longest_excerpt) + '"';
}

} // namespace internal

parsed<statement> parse_statement(std::string_view line) {
    namespace peg = tao::pegtl;
    if (!is_utf8(line))
        return input_error{
            "statement", clean_text(line, internal::longest_excerpt), "UTF-8"};
    peg::memory_input in{line.data(), line.size(), "statement"};
    internal::parse_result out;
    try {
        if (peg::parse<internal::grammar::line, internal::action,
                       internal::control>(in, out))
            return out.m_statement;
    } catch (const peg::parse_error& error) {
        const std::size_t column = error.positions().front().column;
        return input_error{"column " + std::to_string(column),
                           internal::rest_from(line, column),
                           std::string{error.message()}};
    }
    return input_error{"column 1", internal::rest_from(line, 1), "a statement"};
}

} // namespace skylark
