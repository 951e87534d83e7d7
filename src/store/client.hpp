// Client of the platform's store: one interface over several protocols.
#ifndef SKYLARK_STORE_CLIENT_HPP
#define SKYLARK_STORE_CLIENT_HPP

#include <functional>
#include <string>
#include <variant>

#include "store/mirror_client.hpp"
#include "store/polling_client.hpp"

namespace skylark::store {

/*! @brief Client of the platform's store; forwards to the selected backend.
 *
 *  Callbacks run on the event loop. */
class client {
public:
    using backend = std::variant<polling_client, mirror_client>;

    /*! @param which type of the backend
     *  @param arguments arguments of the backend's constructor */
    template <class Backend, class... Arguments>
    explicit client(std::in_place_type_t<Backend> which,
                    Arguments&&... arguments)
        : m_backend{which, std::forward<Arguments>(arguments)...} {}

    /*! @brief Reads the configuration document.
     *  @param index position 0 reads at once; otherwise the read blocks until
     *  the document has a later position
     *  @param wait longest time that the read blocks
     *  @param done receives the result */
    void read(const store_position& index, duration wait,
              std::function<void(const read_result&)> done) {
        std::visit(
            [&](auto& target) { target.read(index, wait, std::move(done)); },
            m_backend);
    }

    /*! @brief Replaces the document if it still has the given revision.
     *  @param revision revision that the new text is based on
     *  @param text new document
     *  @param done receives the result */
    void write(std::uint64_t revision, std::string text,
               std::function<void(const write_result&)> done) {
        std::visit(
            [&](auto& target) {
                target.write(revision, std::move(text), std::move(done));
            },
            m_backend);
    }

    /*! @brief Reads the instance list; parameters as for read(). */
    void instances(const store_position& index, duration wait,
                   std::function<void(const list_result&)> done) {
        std::visit(
            [&](auto& target) {
                target.instances(index, wait, std::move(done));
            },
            m_backend);
    }

    /*! @brief Whether an instance that is missing from the list no longer
     *  exists; false for a catalogue that lags behind the instances. */
    [[nodiscard]] bool authoritative_instances() const {
        return std::visit(
            [](const auto& target) { return target.authoritative_instances; },
            m_backend);
    }

    /*! @brief Longest blocking time to pass to a read. */
    [[nodiscard]] duration max_read_wait() const {
        return std::visit(
            [](const auto& target) { return target.max_read_wait(); },
            m_backend);
    }

    /*! @brief Latest time at which the result of a read is known to have been
     *  current.
     *  @param started when the read started */
    [[nodiscard]] time_point confirmed_at(time_point started) const {
        return std::visit(
            [started](const auto& target) {
                return target.confirmed_at(started);
            },
            m_backend);
    }

    /*! @brief The store has answered another entry, so what this entry saw of
     *  it since was no outage.
     *  @param at latest time at which it can have answered */
    void confirmed(time_point at) {
        std::visit([at](auto& target) { target.confirmed(at); }, m_backend);
    }

    /*! @brief Time to wait before the next read after a failed one.
     *  @param now current time */
    [[nodiscard]] duration retry_wait(time_point now) const {
        return std::visit(
            [now](const auto& target) { return target.retry_wait(now); },
            m_backend);
    }

    /*! @brief Whether the store is unreachable from this entry, so that
     *  another entry should take over the watch.
     *  @param now current time */
    [[nodiscard]] bool lost(time_point now) const {
        return std::visit(
            [now](const auto& target) { return target.lost(now); }, m_backend);
    }

private:
    backend m_backend;
};

} // namespace skylark::store

#endif
