#ifndef RHUBARBRUN_COORDINATION_LEDGER_SUCCESSION_HPP
#define RHUBARBRUN_COORDINATION_LEDGER_SUCCESSION_HPP

#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <map>

namespace rhubarbrun::inline v1 {

/// Which earlier leaders' tokens may still be valid, from what one control
/// member has applied of the log.
///
/// A leader grants tokens only once an entry of its term is committed, and no
/// longer once a later leader's is. So a member that has applied an entry of a
/// later term knows a time after which the earlier one granted nothing.
class ledger_succession
{
public:
    explicit ledger_succession(time_point started_at);

    /// An entry of this term was applied.
    auto on_applied(time_point now, election_term elected) -> void;

    /// When the tokens of all leaders before `own`, but of the last of them,
    /// have expired.
    [[nodiscard]] auto expired_at(election_term own) const -> time_point;

private:
    /// The member may have missed leaders that it did not run beside.
    time_point started_at_;
    /// When a later term was first applied, by term.
    std::map<election_term, time_point> ended_at_;
    election_term newest_;
};

} // namespace rhubarbrun::inline v1

#endif
