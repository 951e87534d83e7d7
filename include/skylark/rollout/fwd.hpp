/*! @file
 *  Declarations of the rollout module, which decides how many requests of a
 *  service go to a new version and whether the version is good. */
#ifndef SKYLARK_ROLLOUT_FWD_HPP
#define SKYLARK_ROLLOUT_FWD_HPP

namespace skylark {

struct version_counts;
struct route_exposure;
struct exposure;
struct reporter;
class exposure_ledger;
class rollout_judge;
struct rollout_times;
struct traffic_plan;
struct write_facts;

} // namespace skylark

#endif
