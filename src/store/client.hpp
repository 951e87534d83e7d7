// The platform's store, behind one interface for several protocols.
#ifndef SKYLARK_STORE_CLIENT_HPP
#define SKYLARK_STORE_CLIENT_HPP

#include <functional>
#include <string>
#include <variant>

#include "store/mirror_client.hpp"
#include "store/polling_client.hpp"

namespace skylark::store {

/*! @brief Client of the platform's store. */
class client {
public:
    /*! @brief One alternative for each kind of store. */
    using kind = std::variant<polling_client, mirror_client>;

    /*! @param which alternative
     *  @param arguments of its constructor */
    template <class Which, class... Arguments>
    explicit client(std::in_place_type_t<Which> which, Arguments&&... arguments)
        : m_kind{which, std::forward<Arguments>(arguments)...} {}

    /*! @brief Reads the configuration document.
     *  @param index 0 reads at once, another waits for a later revision
     *  @param wait longest wait
     *  @param done gets the result */
    void read(std::uint64_t index, duration wait,
              std::function<void(const read_result&)> done) {
        std::visit([&](auto& to) { to.read(index, wait, std::move(done)); },
                   m_kind);
    }

    /*! @brief Replaces the document if its revision is still the given one.
     *  @param revision revision that the text was made from
     *  @param text the document
     *  @param done gets the result */
    void write(std::uint64_t revision, std::string text,
               std::function<void(const write_result&)> done) {
        std::visit(
            [&](auto& to) {
                to.write(revision, std::move(text), std::move(done));
            },
            m_kind);
    }

    /*! @brief Reads the instance list, as read(). */
    void instances(std::uint64_t index, duration wait,
                   std::function<void(const list_result&)> done) {
        std::visit(
            [&](auto& to) { to.instances(index, wait, std::move(done)); },
            m_kind);
    }

    /*! @brief Whether an instance that is missing from the list is gone; a
     *  catalogue that lags is only a hint. */
    [[nodiscard]] bool exact_instances() const {
        return std::visit([](const auto& to) { return to.exact_instances; },
                          m_kind);
    }

    /*! @brief Longest wait that a read should ask for. */
    [[nodiscard]] duration longest_read() const {
        return std::visit([](const auto& to) { return to.longest_read(); },
                          m_kind);
    }

    /*! @brief When the result of a read was certainly the newest.
     *  @param asked when the read began */
    [[nodiscard]] time_point confirmed(time_point asked) const {
        return std::visit(
            [asked](const auto& to) { return to.confirmed(asked); }, m_kind);
    }

    /*! @brief Whether the store does not answer this entry, so that another
     *  one should watch it in its place. */
    [[nodiscard]] bool lost(time_point now) const {
        return std::visit([now](const auto& to) { return to.lost(now); },
                          m_kind);
    }

private:
    kind m_kind;
};

} // namespace skylark::store

#endif
