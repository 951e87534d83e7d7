/*! @file
 *  Declarations of the verdict module: the outcomes of an attempt. */
#ifndef SKYLARK_VERDICT_FWD_HPP
#define SKYLARK_VERDICT_FWD_HPP

namespace skylark {

struct answered;
struct not_run;
struct may_have_run;

} // namespace skylark

#endif
