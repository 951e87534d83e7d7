// Authentication: which team a request belongs to, by the key that it carries.
//
// Neither the key nor its digest is kept, logged or sent on.
#include <algorithm>

#include "entry/forwarder.hpp"
#include "io/http_status.hpp"
#include "io/sha256.hpp"

namespace skylark::entry {

namespace {

constexpr std::string_view reason = "no team has the key of this request";

std::string_view key_field(const dialect& of) {
    return std::visit([](const auto& kind) { return kind.key_field; }, of);
}

// The request's key; empty if it carries none or more than one.
std::string_view key_of(const io::request_view& from, std::string_view field) {
    const auto is_key = [field](const io::header_view& item) {
        return io::equal_ignoring_case(item.m_name, field);
    };
    const auto found =
        std::find_if(from.m_headers.begin(), from.m_headers.end(), is_key);
    if (found == from.m_headers.end() ||
        std::find_if(std::next(found), from.m_headers.end(), is_key) !=
            from.m_headers.end())
        return {};
    return found->m_value;
}

} // namespace

forwarder::authentication forwarder::authenticate(const io::request_view& from,
                                                  const rule& matched) const {
    if (m_shared.m_teams.empty() || matched.m_public)
        return {true, nullptr};
    const auto key = key_of(from, key_field(m_shared.m_dialect));
    if (key.empty())
        return {false, nullptr};
    const team* found = m_shared.m_teams.find(io::sha256_digest(key));
    return {found != nullptr, found};
}

void forwarder::refuse_unauthenticated(exchange_id key,
                                       const io::request_view& from) {
    m_shared.m_metrics.count(counter::unauthenticated);
    if (may_deny())
        refuse_on_arrival(key, from, io::status::unauthorized, reason,
                          request_class::normal, std::nullopt, std::nullopt,
                          line_kind::unauthenticated);
    else
        refuse_on_arrival(key, from, io::status::unavailable,
                          "configuration not confirmed, " + std::string{reason},
                          request_class::normal,
                          retry_after(refusal{}, m_router.random()),
                          std::nullopt, line_kind::unauthenticated);
}

io::header forwarder::key_challenge() const {
    return {"WWW-Authenticate", std::string{key_field(m_shared.m_dialect)}};
}

request_class forwarder::class_of_request(const rule& matched,
                                          const team* whose) const {
    return whose ? class_of(matched.m_class, whose->m_rank,
                            m_shared.m_teams.first_rank())
                 : matched.m_class;
}

request_rank forwarder::rank_of_request(const rule& matched,
                                        const team* whose) const {
    return {whose ? whose->m_rank : m_shared.m_teams.first_rank(),
            matched.m_rank};
}

} // namespace skylark::entry
