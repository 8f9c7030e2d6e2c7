#ifndef RHUBARBRUN_STATE_OVERLOADED_HPP
#define RHUBARBRUN_STATE_OVERLOADED_HPP

namespace rhubarbrun::inline v1 {

/// One function object of several, for `std::visit`.
template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace rhubarbrun::inline v1

#endif
