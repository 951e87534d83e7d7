/*! @file
 *  Declarations and defaults of the core module: ids, time, addresses and
 *  errors that every other module is written in terms of. */
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
