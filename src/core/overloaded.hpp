// Combines lambdas into one visitor for std::visit.
#ifndef SKYLARK_CORE_OVERLOADED_HPP
#define SKYLARK_CORE_OVERLOADED_HPP

namespace skylark {

template <class... Cases>
struct overloaded : Cases... {
    using Cases::operator()...;
};

template <class... Cases>
overloaded(Cases...) -> overloaded<Cases...>;

} // namespace skylark

#endif
