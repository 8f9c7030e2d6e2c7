#ifndef RHUBARBRUN_COORDINATION_ALLOWANCE_MESSAGES_HPP
#define RHUBARBRUN_COORDINATION_ALLOWANCE_MESSAGES_HPP

#include <rhubarbrun/state/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// What a proxy did with the tokens of one organisation, and what it needs.
///
/// The counts are totals since the proxy's tokens were last all gone, so that a
/// lost or repeated report changes nothing.
struct allowance_use
{
    organisation_id organisation;
    std::uint64_t used = 0;
    /// Tokens given back without having been used.
    std::uint64_t returned = 0;
    /// Tokens that the proxy asks for.
    std::uint32_t wanted = 0;
    /// Tokens of the ledger before that are given up for tokens of this one.
    std::uint64_t exchanged = 0;
    /// Operations that wait for a token.
    std::uint32_t waiting = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(organisation, used, returned, wanted, exchanged, waiting);
    }
};

/// Proxy to its control member, which passes it on to the leader with others.
struct allowance_report
{
    /// IP address of the proxy, which is also its name.
    std::string proxy;
    /// Changes whenever the proxy has lost all tokens, with its totals.
    std::uint64_t run = 0;
    /// Ledger from which the proxy's tokens come; 0 if it has none.
    std::uint64_t ledger = 0;
    /// Repeated by the answer. Numbers of one run ascend.
    std::uint64_t number = 0;
    std::vector<allowance_use> uses;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(proxy, run, ledger, number, uses);
    }
};

/// Control member to the leader: reports of its proxies, and the answers.
struct allowance_batch
{
    std::vector<std::string> messages;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(messages);
    }
};

/// Tokens of one organisation for one proxy.
struct granted_tokens
{
    organisation_id organisation;
    /// Total of the tokens granted to this run of the proxy by this ledger.
    std::uint64_t total = 0;
    /// Time until the operations that wait now, at all proxies, can have their
    /// tokens, in milliseconds; -1 if none of them has to wait for tokens to
    /// accrue.
    std::int64_t retry_after_ms = -1;
    /// Most of the tokens that proxies may hold are held, so that idle ones are
    /// needed elsewhere.
    bool is_scarce = false;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(organisation, total, retry_after_ms, is_scarce);
    }
};

/// Leader to proxy, through the member that passed the report on.
struct allowance_grant
{
    std::string proxy;
    std::uint64_t run = 0;
    /// Ledger that granted the tokens. A later one has a higher number.
    std::uint64_t ledger = 0;
    /// Number of the report that this answers. The tokens of the ledger are
    /// valid for a fixed time from when that report was sent.
    std::uint64_t answers = 0;
    std::vector<granted_tokens> tokens;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(proxy, run, ledger, answers, tokens);
    }
};

} // namespace rhubarbrun::inline v1

#endif
