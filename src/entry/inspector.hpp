// Answers show and explain queries from this entry's state.
#ifndef SKYLARK_ENTRY_INSPECTOR_HPP
#define SKYLARK_ENTRY_INSPECTOR_HPP

#include <skylark/command/statement.hpp>
#include <skylark/command/table.hpp>

#include "entry/context.hpp"
#include "entry/router.hpp"

namespace skylark::entry {

/*! @brief Makes tables of what this entry knows. */
class inspector {
public:
    inspector(context& shared, router& routing)
        : m_shared{shared}, m_router{routing} {}

    /*! @brief Runs a show query.
     *  @return the table, or an error for an unknown field */
    parsed<table> show(const show_query& query);

    /*! @brief Tells rule, class, candidates and reasons for a request. */
    table explain(const explain_query& query);

private:
    table services();
    table zones();
    table rules();
    table teams();
    table bounds();
    table upstreams();
    table entries();
    table load();
    table shares();
    table config();
    table events();

    context& m_shared;
    router& m_router;
};

} // namespace skylark::entry

#endif
