// Stand-in for the platform: key-value store with compare-and-swap, blocking
// reads and an instance catalogue, in the manner of Consul's interface. Can be
// told to be slow, down, to lose answers of writes, or to go back in time.
#ifndef STANDIN_PLATFORM_HPP
#define STANDIN_PLATFORM_HPP

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "io/event_loop.hpp"
#include "io/http_server.hpp"
#include "standin/query.hpp"

namespace standin {

/*! @brief Faults in force. */
struct platform_faults {
    std::int64_t m_delay_ms{};    //!< before each answer
    bool m_down{};                //!< requests get no answer at all
    std::int64_t m_lose_writes{}; //!< writes that take effect unanswered
    bool m_old{};                 //!< reads give the first revision
};

/*! @brief The stand-in. */
class platform {
public:
    explicit platform(skylark::io::event_loop& loop);

    skylark::parsed<skylark::address> listen(skylark::address where);

    /*! @brief Stores a value as a first revision. */
    void preload(const std::string& key, const std::string& text);

private:
    struct value {
        std::uint64_t m_revision{};
        std::string m_text;
    };
    struct waiting {
        skylark::exchange_id m_exchange;
        std::string m_topic;
        std::uint64_t m_index;
        skylark::timer_id m_timer;
    };

    void serve(skylark::exchange_id key,
               const skylark::io::request_view& request);
    void route(skylark::exchange_id key, const std::string& method,
               const query& target, const std::string& body);
    void read(skylark::exchange_id key, const std::string& topic,
              const query& target);
    void answer_read(skylark::exchange_id key, const std::string& topic);
    void swap(skylark::exchange_id key, const std::string& topic,
              const query& target, const std::string& body);
    void register_instance(const std::string& body);
    void deregister_instance(const std::string& id);
    void set_faults(const query& target);
    void store(const std::string& topic, std::string text);
    void wake(const std::string& topic);
    void reply(skylark::exchange_id key, int status, const std::string& body,
               std::uint64_t index);
    void store_catalogue();

    skylark::io::event_loop& m_loop;
    skylark::io::http_server m_server;
    platform_faults m_faults;
    std::map<std::string, value> m_values;
    std::map<std::string, value> m_first; // first revision of each topic
    std::map<std::string, nlohmann::json> m_instances;
    std::vector<waiting> m_waiting;
    std::uint64_t m_index{};
    std::uint64_t m_calls{};
    std::uint64_t m_writes{};
};

} // namespace standin

#endif
