/*! @file
 *  Container that owns objects and hands out their ids. */
#ifndef SKYLARK_CORE_ID_MAP_HPP
#define SKYLARK_CORE_ID_MAP_HPP

#include <unordered_map>
#include <utility>

#include <skylark/core/id.hpp>

namespace skylark {

/*! @brief Owns objects of one kind; each gets an id that is never reused.
 *  @tparam Id id type of the objects
 *  @tparam Object kind of the objects; addresses stay stable */
template <class Id, class Object>
class id_map {
public:
    /*! @brief Constructs an object in the container.
     *  @param args arguments of the object's constructor
     *  @return id of the new object */
    template <class... Args>
    Id emplace(Args&&... args) {
        const Id key{++m_last};
        m_objects.try_emplace(key, std::forward<Args>(args)...);
        return key;
    }

    /*! @brief Looks an object up.
     *  @param key id of the object
     *  @return the object, or nullptr when it is gone */
    Object* find(Id key) {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? nullptr : &found->second;
    }

    /*! @brief Destroys an object.
     *  @param key id of the object; nothing happens when it is gone */
    void erase(Id key) { m_objects.erase(key); }

    [[nodiscard]] std::size_t size() const { return m_objects.size(); }
    [[nodiscard]] bool empty() const { return m_objects.empty(); }
    auto begin() { return m_objects.begin(); }
    auto end() { return m_objects.end(); }

private:
    std::unordered_map<Id, Object> m_objects;
    // Invariant: at least the value of every id handed out.
    typename Id::value_type m_last{};
};

} // namespace skylark

#endif
