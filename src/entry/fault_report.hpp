// Last line of a process that a fault ends.
#ifndef SKYLARK_ENTRY_FAULT_REPORT_HPP
#define SKYLARK_ENTRY_FAULT_REPORT_HPP

namespace skylark::entry {

/*! @brief Reports SIGABRT, SIGSEGV, SIGBUS, SIGFPE and SIGILL on standard
 *  error before they end the process.
 *
 *  The report is a line with the signal and the fault address or the sender,
 *  and a line for each frame of the stack. The default action follows, so the
 *  status is the signal's and a core is made. A standard error that is closed,
 *  broken or full loses lines and delays nothing.
 *
 *  Signals that are not at their default are left alone, as is an alternative
 *  signal stack that exists. Call it once, in the thread whose stack may
 *  overflow; other threads report on their own stacks. */
void report_faults();

} // namespace skylark::entry

#endif
