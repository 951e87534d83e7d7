// Joins lambdas into one visitor for std::visit.
#ifndef SKYLARK_CORE_OVERLOAD_HPP
#define SKYLARK_CORE_OVERLOAD_HPP

namespace skylark {

template <class... Cases>
struct overload : Cases... {
    using Cases::operator()...;
};

template <class... Cases>
overload(Cases...) -> overload<Cases...>;

} // namespace skylark

#endif
