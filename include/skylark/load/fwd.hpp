/*! @file
 *  Declarations of the load module: what an entry knows of its upstreams. */
#ifndef SKYLARK_LOAD_FWD_HPP
#define SKYLARK_LOAD_FWD_HPP

namespace skylark {

struct load_report;
class upstream_load;

} // namespace skylark

#endif
