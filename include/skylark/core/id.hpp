/*! @file
 *  Strongly typed ids, by which objects in containers are referred to. */
#ifndef SKYLARK_CORE_ID_HPP
#define SKYLARK_CORE_ID_HPP

#include <compare>
#include <cstdint>
#include <functional>

#include <skylark/core/fwd.hpp>

namespace skylark {

/*! @brief Id of an object of one kind.
 *  @tparam Tag kind of the object; may be an incomplete type
 *  @tparam Value unsigned integer that stores the id
 *  @note The default value 0 is the null id and refers to no object. */
template <class Tag, class Value>
class id {
public:
    using value_type = Value;

    constexpr id() = default;
    constexpr explicit id(Value value) : m_value{value} {}

    /*! @brief Underlying number; 0 for the null id. */
    [[nodiscard]] constexpr Value value() const { return m_value; }

    /*! @brief False for the null id. */
    constexpr explicit operator bool() const { return m_value != 0; }

    constexpr auto operator<=>(const id&) const = default;

private:
    Value m_value{};
};

using timer_id = id<struct timer_tag>;
using exchange_id = id<struct exchange_tag>;
using connection_id = id<struct connection_tag>;
using attempt_id = id<struct attempt_tag>;
using upstream_id = id<struct upstream_tag>;
using entry_id = id<struct entry_tag>;
using service_index = id<struct service_tag, std::uint32_t>;

} // namespace skylark

template <class Tag, class Value>
struct std::hash<skylark::id<Tag, Value>> {
    std::size_t operator()(skylark::id<Tag, Value> key) const noexcept {
        return std::hash<Value>{}(key.value());
    }
};

#endif
