/*! @file
 *  Declarations and default template arguments of the core module: the ids,
 *  addresses and errors that all other modules use. */
#ifndef SKYLARK_CORE_FWD_HPP
#define SKYLARK_CORE_FWD_HPP

#include <cstdint>

namespace skylark {

template <class Tag, class Value = std::uint64_t>
class id;

template <class Id, class Object>
class id_map;

struct address;
struct input_error;
class histogram;

} // namespace skylark

#endif
