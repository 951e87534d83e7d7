// Runs operators' changes against the platform's store.
#ifndef SKYLARK_ENTRY_CHANGER_HPP
#define SKYLARK_ENTRY_CHANGER_HPP

#include <functional>
#include <string>
#include <variant>

#include <skylark/command/statement.hpp>

#include "entry/configurator.hpp"
#include "entry/context.hpp"
#include "store/client.hpp"

namespace skylark::entry {

/*! @brief The change is durable in the store. */
struct change_accepted {
    std::uint64_t m_revision; //!< first revision seen that has it
};

/*! @brief The change cannot be made. */
struct change_rejected {
    input_error m_error;
    std::uint64_t m_in_force; //!< revision that it was tried on
};

/*! @brief Nobody can tell whether the change was made; it may be issued
 *  again under the same change id. */
struct change_unknown {
    std::string m_cause;
};

/*! @brief The store gave no answer before anything was written. */
struct change_not_made {
    std::string m_cause;
};

using change_result = std::variant<change_accepted, change_rejected,
                                   change_unknown, change_not_made>;

/*! @brief Applies statements as patches by compare-and-swap: when another
 *  operator was faster, the patch is evaluated again on the new document. */
class changer {
public:
    using callback = std::function<void(const change_result&)>;

    changer(context& shared, configurator& config)
        : m_shared{shared}, m_configurator{config} {}

    /*! @brief Runs a change.
     *  @param what the statement
     *  @param if_revision 0, or the only revision it may be applied to
     *  @param change_id of the operator, or empty for a new one
     *  @param done gets the result once */
    void run(const change_statement& what, std::uint64_t if_revision,
             const std::string& change_id, callback done);

private:
    // One change under way.
    struct change {
        change_statement m_what;
        std::uint64_t m_if_revision{};
        std::string m_id;
        callback m_done;
        int m_tries{};
        bool m_may_be_written{};
    };
    using change_ptr = std::shared_ptr<change>;

    void read(const change_ptr& of);
    void try_on(const change_ptr& of, const store::stored_value& base);
    void written_result(const change_ptr& of,
                        const store::write_result& result);
    void failed(const change_ptr& of, const std::string& cause);
    void again(const change_ptr& of);
    [[nodiscard]] static bool give_up(const change_ptr& of);

    context& m_shared;
    configurator& m_configurator;
    std::uint64_t m_count{};
};

} // namespace skylark::entry

#endif
