#include <rhubarbrun/coordination/link_work.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;

// Guards against closing a link that a request or a transaction needs, and
// against links that count as busy forever.
TEST_CASE("a link is busy until its requests and transactions have ended")
{
    auto work = link_work{};
    const auto link = link_id(1);
    const auto first = entry_session{link, session_id(1)};
    const auto second = entry_session{link, session_id(2)};
    CHECK_FALSE(work.is_busy(link));

    work.on_request(first, request_id(1));
    CHECK(work.is_busy(link));
    CHECK_FALSE(work.is_busy(link_id(2)));
    work.on_answer(link, request_id(1), false, false);
    CHECK_FALSE(work.is_busy(link));

    work.on_request(first, request_id(2));
    work.on_answer(link, request_id(2), false, true);
    work.on_request(second, request_id(3));
    work.on_answer(link, request_id(3), false, false);
    CHECK(work.is_busy(link));
    work.on_request(first, request_id(4));
    work.on_answer(link, request_id(4), true, false);
    CHECK(work.is_busy(link));
    work.on_request(first, request_id(5));
    work.on_answer(link, request_id(5), false, false);
    CHECK_FALSE(work.is_busy(link));
}

TEST_CASE("the end of a session or of a link ends its work")
{
    auto work = link_work{};
    const auto link = link_id(1);
    const auto session = entry_session{link, session_id(1)};
    work.on_request(session, request_id(1));
    work.on_answer(link, request_id(1), false, true);
    work.on_request(session, request_id(2));
    work.on_session_ended(session);
    CHECK_FALSE(work.is_busy(link));
    // An answer to a session that has ended opens no transaction.
    work.on_answer(link, request_id(2), false, true);
    CHECK_FALSE(work.is_busy(link));

    work.on_request(session, request_id(3));
    work.on_link_lost(link);
    CHECK_FALSE(work.is_busy(link));
}
