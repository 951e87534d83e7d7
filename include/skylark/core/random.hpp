/*! @file
 *  Pseudo-random generator of the project. It is always seeded explicitly and
 *  passed as an argument, so that runs can be repeated. */
#ifndef SKYLARK_CORE_RANDOM_HPP
#define SKYLARK_CORE_RANDOM_HPP

#include <pcg_random.hpp>

namespace skylark {

using random_source = pcg32_fast;

} // namespace skylark

#endif
