// Operators' address of the store's stand-in: keys and faults.
#include "standin/store_operator.hpp"

#include <string>

#include "io/http_status.hpp"
#include "standin/query.hpp"

namespace standin {

using namespace skylark;

namespace {

constexpr std::size_t largest_value = std::size_t{1} << 20U;
constexpr auto copy_period = milliseconds{250};

kv_faults read_faults(const query& from) {
    kv_faults out;
    out.m_refusing = from.has("refusing");
    out.m_limiting = from.has("limiting");
    out.m_silent = from.has("silent");
    out.m_losing = from.has("losing");
    out.m_delay = milliseconds{from.number("delay_ms", 0)};
    return out;
}

} // namespace

store_operator::store_operator(io::event_loop& loop, kv_store& store)
    : m_loop{loop}, m_store{store}, m_server{loop,
                                             {largest_value, seconds{60}}} {
    m_server.set_handlers(
        {[this](exchange_id key, const io::request_view& request) {
             serve(key, request);
         },
         {},
         {}});
    loop.every(copy_period, [this] { m_store.save_copy(); });
}

// A renewed record that says nothing new is no change.
void store_operator::put(const std::string& name, const std::string& value) {
    m_written[name] = value;
    if (!m_store.holds(name, value))
        m_store.put(name, value);
}

void store_operator::write_again() {
    for (const auto& [name, value] : m_written)
        if (name.starts_with("op/"))
            put(name, value);
    for (const std::string_view prefix : {"op/", "servers/"})
        for (const std::string& name : m_store.keys(prefix))
            if (!m_written.contains(name))
                m_store.erase(name);
}

void store_operator::serve(exchange_id key, const io::request_view& request) {
    const query target{request.m_path};
    const std::string name = target.text("key");
    int status = io::status::ok;
    if (target.path() == "/standin/key" && request.m_method == "PUT") {
        put(name, std::string{request.m_body});
    } else if (target.path() == "/standin/key" &&
               request.m_method == "DELETE") {
        m_written.erase(name);
        m_store.erase(name);
    } else if (target.path() == "/standin/faults") {
        m_store.set_faults(read_faults(target));
    } else if (target.path() == "/standin/forget") {
        m_store.drop_history();
    } else if (target.path() == "/standin/restore" &&
               m_store.restore_copy(milliseconds{target.number("age_ms", 0)})) {
        m_loop.after(milliseconds{target.number("rewrite_ms", 0)},
                     [this] { write_again(); });
    } else {
        status = io::status::not_found;
    }
    m_server.answer(key, status, {}, "");
}

} // namespace standin
