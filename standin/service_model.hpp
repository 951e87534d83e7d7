/*! @file
 *  Upstreams of one service in virtual time: slots, queues, and speeds that
 *  change. */
#ifndef STANDIN_SERVICE_MODEL_HPP
#define STANDIN_SERVICE_MODEL_HPP

#include <deque>
#include <functional>
#include <vector>

#include <skylark/core/random.hpp>
#include <skylark/load/report.hpp>

#include "standin/overload_model.hpp"
#include "standin/virtual_clock.hpp"

namespace standin {

/*! @brief What becomes of a request that reached an upstream. */
enum class work_result : std::uint8_t {
    done,
    refused, //!< whatever the load
    hung     //!< the queue was full; never answered
};

/*! @brief The upstreams of a scenario. */
class service_model {
public:
    //! Called once, with the time that the work took without the queue.
    using callback = std::function<void(work_result, skylark::duration)>;

    service_model(const overload_scenario& from, virtual_clock& clock,
                  skylark::random_source& random);

    /*! @brief Begins to change speeds, until all callers have left. */
    void start() { change_speeds(); }

    /*! @brief A request has reached an upstream. */
    void receive(std::uint32_t upstream, callback done);

    /*! @brief Load of an upstream now. */
    [[nodiscard]] skylark::load_report report(std::uint32_t upstream) const;

    /*! @brief Whether an upstream answers nothing at all. */
    [[nodiscard]] bool silent(std::uint32_t upstream) const {
        return upstream < m_from.m_silent;
    }

    /*! @brief What an upstream says of its health. */
    [[nodiscard]] bool says_healthy(std::uint32_t upstream) const {
        return upstream >= m_from.m_silent + m_from.m_falsely_unhealthy;
    }

private:
    struct upstream {
        std::uint32_t m_used{};
        std::uint32_t m_slowness{skylark::nominal_slowness};
        std::deque<callback> m_waiting;
    };

    void change_speeds();
    void work(std::uint32_t index, callback done);
    bool draw(double share);

    overload_scenario m_from;
    virtual_clock& m_clock;
    skylark::random_source& m_random;
    std::vector<upstream> m_upstreams;
};

} // namespace standin

#endif
