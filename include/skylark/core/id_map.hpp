/*! @file
 *  Container that owns objects and assigns their ids. */
#ifndef SKYLARK_CORE_ID_MAP_HPP
#define SKYLARK_CORE_ID_MAP_HPP

#include <unordered_map>
#include <utility>

#include <skylark/core/id.hpp>

namespace skylark {

/*! @brief Owns objects of one type; each gets an id that is never reused.
 *  Pointers to an object stay valid until it is erased.
 *  @tparam Id id type of the objects
 *  @tparam Object type of the objects */
template <class Id, class Object>
class id_map {
public:
    /*! @brief Constructs an object in place.
     *  @param args arguments for the object's constructor
     *  @return id of the new object */
    template <class... Args>
    Id emplace(Args&&... args) {
        const Id key{++m_last};
        m_objects.try_emplace(key, std::forward<Args>(args)...);
        return key;
    }

    /*! @brief Looks up an object.
     *  @param key id of the object
     *  @return the object, or nullptr if it was erased */
    Object* find(Id key) {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? nullptr : &found->second;
    }

    /*! @brief Destroys an object.
     *  @param key id of the object; no effect if it was already erased */
    void erase(Id key) { m_objects.erase(key); }

    [[nodiscard]] std::size_t size() const { return m_objects.size(); }
    [[nodiscard]] bool empty() const { return m_objects.empty(); }
    auto begin() { return m_objects.begin(); }
    auto end() { return m_objects.end(); }

private:
    std::unordered_map<Id, Object> m_objects;
    // Invariant: the value of the last id assigned; 0 before the first.
    typename Id::value_type m_last{};
};

} // namespace skylark

#endif
