/*! @file
 *  Statements of the operators' command language, as parsed. */
#ifndef SKYLARK_COMMAND_STATEMENT_HPP
#define SKYLARK_COMMAND_STATEMENT_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace skylark {

/*! @brief A word with its column, for error messages. */
struct located_text {
    std::string m_text;
    std::size_t m_column{}; //!< counts from 1
};

/*! @brief One comparison of a where clause. */
struct filter {
    located_text m_field;
    std::string m_operator; //!< =, !=, <, >
    std::string m_value;
};

/*! @brief What a show query lists. */
enum class show_subject : std::uint8_t {
    services,
    zones,
    rules,
    limits,
    upstreams,
    entries,
    load,
    shares,
    config,
    events,
    teams
};

/*! @brief show SUBJECT [where FIELD OP VALUE [and ...]] */
struct show_query {
    show_subject m_subject{};
    std::vector<filter> m_filters;
};

/*! @brief explain request METHOD PATH [header NAME VALUE] */
struct explain_query {
    std::string m_method;
    std::string m_path;
    std::string m_header;
    std::string m_header_value;
};

/*! @brief Operation of a change. */
enum class change_kind : std::uint8_t {
    create,
    alter,
    remove,
    drain,
    restore,
    set
};

/*! @brief Kind of object that a change applies to. */
enum class change_target : std::uint8_t { zone, service, rule, limits };

/*! @brief A key with its new value. */
struct assignment {
    located_text m_key;
    located_text m_value;
};

/*! @brief create|alter|remove|drain|restore TARGET NAME [KEY VALUE ...],
 *  set KEY VALUE ... */
struct change_statement {
    change_kind m_kind{};
    change_target m_target{};
    located_text m_name;
    std::vector<assignment> m_assignments;
    bool m_force{};
};

using statement = std::variant<show_query, explain_query, change_statement>;

} // namespace skylark

#endif
