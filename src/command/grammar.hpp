// PEGTL grammar of the operators' command language.
#ifndef SKYLARK_COMMAND_GRAMMAR_HPP
#define SKYLARK_COMMAND_GRAMMAR_HPP

#include <tao/pegtl.hpp>

namespace skylark::internal::grammar {

namespace peg = tao::pegtl;

// clang-format off
struct gap : peg::plus<peg::blank> {};
struct maybe_gap : peg::star<peg::blank> {};
struct word_end : peg::sor<peg::at<peg::blank>, peg::eof> {};

template <class Text>
struct keyword : peg::seq<Text, word_end> {};

struct quoted_text : peg::star<peg::not_one<'"'>> {};
struct closing_quote : peg::one<'"'> {};
struct quoted : peg::if_must<peg::one<'"'>, quoted_text, closing_quote> {};
struct bare_char : peg::seq<peg::not_one<' ', '\t', '"'>> {};
struct bare : peg::plus<bare_char> {};
struct word : peg::sor<quoted, bare> {};

// show SUBJECT [where ...]
struct subject : peg::sor<
    keyword<TAO_PEGTL_STRING("services")>, keyword<TAO_PEGTL_STRING("zones")>,
    keyword<TAO_PEGTL_STRING("rules")>, keyword<TAO_PEGTL_STRING("limits")>,
    keyword<TAO_PEGTL_STRING("upstreams")>,
    keyword<TAO_PEGTL_STRING("entries")>, keyword<TAO_PEGTL_STRING("load")>,
    keyword<TAO_PEGTL_STRING("shares")>, keyword<TAO_PEGTL_STRING("config")>,
    keyword<TAO_PEGTL_STRING("events")>,
    keyword<TAO_PEGTL_STRING("teams")>> {};
struct field : peg::plus<peg::sor<peg::alnum, peg::one<'_'>>> {};
struct comparison : peg::sor<TAO_PEGTL_STRING("!="), TAO_PEGTL_STRING("="),
                             TAO_PEGTL_STRING("<"), TAO_PEGTL_STRING(">")> {};
struct filter_value : word {};
struct condition : peg::seq<peg::must<field>, maybe_gap,
                            peg::must<comparison>, maybe_gap,
                            peg::must<filter_value>> {};
struct and_more : peg::if_must<
    peg::seq<gap, keyword<TAO_PEGTL_STRING("and")>>, gap, condition> {};
struct where : peg::if_must<
    peg::seq<gap, keyword<TAO_PEGTL_STRING("where")>>, gap, condition,
    peg::star<and_more>> {};
struct show : peg::if_must<keyword<TAO_PEGTL_STRING("show")>, gap, subject,
                           peg::opt<where>> {};

// explain request METHOD PATH [header NAME VALUE]
struct method : word {};
struct path : peg::seq<peg::at<peg::one<'/'>>, bare> {};
struct header_name : word {};
struct header_value : word {};
struct header : peg::if_must<
    peg::seq<gap, keyword<TAO_PEGTL_STRING("header")>>, gap, header_name, gap,
    header_value> {};
struct request : keyword<TAO_PEGTL_STRING("request")> {};
struct explain : peg::if_must<keyword<TAO_PEGTL_STRING("explain")>, gap,
                              request, gap, method, gap, path,
                              peg::opt<header>> {};

// create|alter|remove|drain|restore TARGET NAME [KEY VALUE ...],
// set KEY VALUE ...
struct name : word {};
struct key : field {};
struct value : word {};
struct force : keyword<TAO_PEGTL_STRING("force")> {};
struct assignment : peg::seq<gap, peg::not_at<force>, key, peg::must<gap>,
                             peg::must<value>> {};
struct assignments : peg::star<assignment> {};
struct maybe_force : peg::opt<peg::seq<gap, force>> {};
struct target : peg::sor<keyword<TAO_PEGTL_STRING("zone")>,
                         keyword<TAO_PEGTL_STRING("service")>,
                         keyword<TAO_PEGTL_STRING("rule")>> {};
struct zone_target : keyword<TAO_PEGTL_STRING("zone")> {};
struct edit_verb : peg::sor<keyword<TAO_PEGTL_STRING("create")>,
                            keyword<TAO_PEGTL_STRING("alter")>,
                            keyword<TAO_PEGTL_STRING("remove")>> {};
struct zone_verb : peg::sor<keyword<TAO_PEGTL_STRING("drain")>,
                            keyword<TAO_PEGTL_STRING("restore")>> {};
struct set_verb : keyword<TAO_PEGTL_STRING("set")> {};
struct edit : peg::if_must<edit_verb, gap, target, gap, name, assignments,
                           maybe_force> {};
struct zone_change : peg::if_must<zone_verb, gap, zone_target, gap, name,
                                  maybe_force> {};
struct set_key : field {};
struct set : peg::if_must<set_verb, gap, set_key, gap, value, assignments> {};

struct end : peg::eof {};
struct any_statement : peg::sor<show, explain, edit, zone_change, set> {};
struct line : peg::seq<maybe_gap, peg::must<any_statement>, maybe_gap,
                       peg::must<end>> {};
// clang-format on

} // namespace skylark::internal::grammar

#endif
