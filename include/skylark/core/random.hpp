/*! @file
 *  The project's random generator; always passed in, always seeded. */
#ifndef SKYLARK_CORE_RANDOM_HPP
#define SKYLARK_CORE_RANDOM_HPP

#include <pcg_random.hpp>

namespace skylark {

using random_source = pcg32_fast;

} // namespace skylark

#endif
