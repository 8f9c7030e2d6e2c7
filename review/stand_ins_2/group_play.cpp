// Three database servers of one service with one synchronous replica, the
// platform's promotion call, and one consumer, as the users' pages describe
// them. Plays the events of a case and prints what was sent, answered and run.
//
//   group_play NET PORT PROXY_PORT TROUBLE leave|resume|calls
//
// leave (case 6): a replica leaves as planned, and then the primary goes dark;
// unless TROUBLE is 0 the replica has left and come back once before.
// resume (case 8): the primary goes dark twice; unless TROUBLE is 0 an order to
// resume between is left unanswered and carried out late.
// calls (case 10): the primary goes dark, and a replica restarts; unless
// TROUBLE is 0 two calls to promote are left unanswered and carried out late.
//
// Servers are NET.11 to NET.13 at PORT, the platform is NET.250 at PORT,
// control members are NET.1 to NET.5 at PORT, and the proxy is NET.21 at
// PROXY_PORT. Exits with 1 if an acknowledged commit is missing at the server
// that is promoted, 0 if not, 2 if the events did not come about.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

// From the site: a promotion takes 600 ms, a ping comes every 1,200 ms.
constexpr auto promotion_time = milliseconds(600);
constexpr auto ping_interval = milliseconds(1200);
constexpr auto control_members = 5;

std::mutex mutex;
const auto began = steady::now();

/// Call with `mutex` held, or before the threads start.
auto note(const std::string& text) -> void
{
    const auto now = std::chrono::duration<double>(steady::now() - began);
    std::printf("%8.3f %s\n", now.count(), text.c_str());
    std::fflush(stdout);
}

struct commit
{
    std::uint64_t term;
    std::uint64_t number;
    std::string what;
};

struct server
{
    std::string id;
    std::string address;
    bool is_primary = false;
    /// It neither reads, answers nor sends.
    bool is_dark = false;
    /// A replica that receives nothing.
    bool is_deaf = false;
    bool is_running = true;
    bool is_draining = false;
    std::int64_t born = 0;
    std::uint64_t newest = 1;
    std::uint64_t paused_by = 0;
    std::vector<commit> log{{1, 1, "first"}};
    std::uint64_t sequence = 0;
    int node = 0;
};

std::array<server, 3> servers;
std::uint64_t group_term = 1;
std::string net;
int port = 0;
bool has_trouble = true;

/// Orders to resume at the server that leaves one unanswered.
int resumes = 0;
steady::time_point first_resume;
std::vector<std::string> promotions;
std::string consumer_answer;
/// Texts of writes that were acknowledged to the consumer.
std::vector<std::string> acknowledged;
bool is_broken = false;
/// Times after which the next calls to promote are carried out, without an
/// answer; the others are carried out at once.
std::vector<milliseconds> late_calls;
int calls = 0;
/// Highest fence number that the platform has seen.
std::uint64_t highest_token = 0;

auto position_of(const server& each) -> std::string
{
    return std::to_string(each.log.back().term) + '.' +
           std::to_string(each.log.back().number);
}

auto connect_to(const std::string& host, int at) -> int
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

auto listen_at(const std::string& host, int at) -> int
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(descriptor, 64) != 0)
    {
        std::perror("listen");
        std::exit(2);
    }
    return descriptor;
}

auto send_all(int descriptor, const std::string& bytes) -> bool
{
    auto sent = std::size_t{0};
    while (sent < bytes.size()) {
        const auto size = ::send(descriptor, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// Reads up to the next CR LF; false at the end of the connection.
auto read_line(int descriptor, std::string& buffer, std::string& line) -> bool
{
    for (;;) {
        const auto end = buffer.find("\r\n");
        if (end != std::string::npos) {
            line = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            return true;
        }
        char bytes[4096];
        const auto size = ::recv(descriptor, bytes, sizeof bytes, 0);
        if (size <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
    }
}

auto wait_until(const std::function<bool()>& condition, milliseconds patience)
    -> bool
{
    const auto until = steady::now() + patience;
    while (steady::now() < until) {
        {
            const auto lock = std::lock_guard(mutex);
            if (condition()) {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return false;
}

auto wait_while_dark(const server& self) -> void
{
    wait_until([&] { return !self.is_dark; }, milliseconds(100000));
}

/// Replicas that receive get what the primary has. Call with `mutex` held.
auto replicate() -> void
{
    for (const auto& from : servers) {
        if (!from.is_primary || from.is_dark) {
            continue;
        }
        for (auto& to : servers) {
            const auto receives =
                !to.is_primary && !to.is_dark && !to.is_deaf && to.is_running;
            if (receives && to.paused_by == 0) {
                to.log = from.log;
                to.newest = group_term;
            }
        }
    }
}

auto has_copy(const server& primary, const commit& what) -> bool
{
    for (const auto& each : servers) {
        if (&each != &primary && each.log.size() >= what.number &&
            each.log[what.number - 1].what == what.what)
        {
            return true;
        }
    }
    return false;
}

/// Runs a write; empty if the connection is to end without an answer.
auto run_write(server& self, const std::string& id, const std::string& text)
    -> std::string
{
    auto added = commit{};
    auto led = std::uint64_t{0};
    {
        const auto lock = std::lock_guard(mutex);
        if (!self.is_primary) {
            return "ERROR READONLY " + self.id + "\r\n";
        }
        led = group_term;
        added = {group_term, self.log.back().number + 1, text};
        self.log.push_back(added);
        note(self.id + " runs " + id + " as " + position_of(self));
        replicate();
    }
    // Acknowledged once one replica has received it.
    auto is_kept = false;
    wait_until(
        [&] {
            is_kept = has_copy(self, added) && self.is_primary;
            return is_kept || group_term != led;
        },
        milliseconds(20000));
    const auto lock = std::lock_guard(mutex);
    if (!is_kept) {
        note(self.id + " has lost the lead before a replica received " + id);
        return {};
    }
    note(self.id + " acknowledges " + id);
    return "COMPLETE proof-" + id + "\r\n";
}

/// Call with `mutex` held.
auto status_row(const server& self) -> std::string
{
    return std::string("DATAROW ") +
           (self.is_primary ? "primary " : "replica ") +
           std::to_string(self.newest) + ' ' + position_of(self) + ' ' +
           std::to_string(self.paused_by) + " 0 0 1\r\nCOMPLETE -\r\n";
}

/// Answer to an order; empty if it gets none.
auto run_order(server& self, const std::string& word, std::uint64_t order_term)
    -> std::string
{
    const auto lock = std::lock_guard(mutex);
    if (word != "STATUS") {
        note(self.id + " gets " + word + ' ' +
             (order_term > 0 ? std::to_string(order_term) : ""));
    }
    if (word == "PAUSE" && order_term > self.newest && !self.is_primary) {
        self.paused_by = order_term;
    } else if (word == "STEPDOWN" && order_term > self.newest) {
        self.is_primary = false;
    } else if (word == "RESUME") {
        if (&self == &servers[2] && resumes++ == 0) {
            first_resume = steady::now();
            if (has_trouble) {
                note(self.id + " leaves the order unanswered for now");
                return {};
            }
        }
        self.paused_by = 0;
    }
    return status_row(self);
}

auto serve(server& self, int descriptor) -> void
{
    const auto yes = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    auto buffer = std::string();
    auto line = std::string();
    auto state = std::string("I");
    auto is_started = false;
    while (read_line(descriptor, buffer, line)) {
        wait_while_dark(self);
        {
            const auto lock = std::lock_guard(mutex);
            if (!self.is_running) {
                break;
            }
        }
        auto words = std::istringstream(line);
        auto first = std::string();
        auto id = std::string();
        auto word = std::string();
        words >> first >> id >> word;
        auto answer = std::string();
        if (!is_started) {
            is_started = true;
        } else if (word == "STATUS" || word == "PAUSE" || word == "RESUME" ||
                   word == "STEPDOWN")
        {
            auto order_term = std::uint64_t{0};
            words >> order_term;
            answer = run_order(self, word, order_term);
            if (answer.empty()) {
                continue;
            }
        } else if (word == "WRITE") {
            answer = run_write(self, id, line);
            if (answer.empty()) {
                break;
            }
        } else if (word == "BEGIN") {
            const auto lock = std::lock_guard(mutex);
            const auto is_read = line.ends_with("READ");
            if (self.is_primary || is_read) {
                state = "T";
                answer = "COMPLETE -\r\n";
            } else {
                answer = "ERROR READONLY " + self.id + "\r\n";
            }
        } else {
            state = word == "ROLLBACK" ? "I" : state;
            answer = "COMPLETE -\r\n";
        }
        {
            const auto lock = std::lock_guard(mutex);
            answer += "READY " + state + ' ' + position_of(self) + "\r\n";
        }
        if (!send_all(descriptor, answer)) {
            break;
        }
    }
    ::close(descriptor);
}

auto accept_all(int listener, const std::function<void(int)>& take) -> void
{
    std::thread([listener, take] {
        for (;;) {
            const auto descriptor = ::accept(listener, nullptr, nullptr);
            if (descriptor >= 0) {
                std::thread(take, descriptor).detach();
            }
        }
    }).detach();
}

/// One HTTP call; returns the status, 0 without a response in a second.
auto http(const std::string& host, const std::string& method,
          const std::string& path, const std::string& body) -> int
{
    const auto descriptor = connect_to(host, port);
    if (descriptor < 0) {
        return 0;
    }
    const auto patience = timeval{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience,
                 sizeof patience);
    send_all(descriptor, method + ' ' + path + " HTTP/1.1\r\nHost: " + host +
                             "\r\nContent-Type: application/json\r\n"
                             "Connection: close\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
    auto buffer = std::string();
    auto line = std::string();
    const auto is_answered = read_line(descriptor, buffer, line);
    ::close(descriptor);
    return is_answered && line.size() > 9 ? std::atoi(line.c_str() + 9) : 0;
}

auto ping(server& self) -> void
{
    auto was_primary = false;
    auto was_draining = false;
    auto next = steady::now();
    for (;;) {
        std::this_thread::sleep_for(milliseconds(20));
        auto body = std::string();
        auto node = 0;
        {
            const auto lock = std::lock_guard(mutex);
            const auto is_due = steady::now() >= next ||
                                self.is_primary != was_primary ||
                                self.is_draining != was_draining;
            if (self.is_dark || !self.is_running || !is_due) {
                continue;
            }
            was_primary = self.is_primary;
            was_draining = self.is_draining;
            next = steady::now() + ping_interval;
            node = self.node;
            body = R"({"service":"s1","address":")" + self.address + ':' +
                   std::to_string(port) +
                   R"(","zone":"z-1","version":"v1","capacity":5,)"
                   R"("state":")" +
                   (self.is_draining ? "draining" : "ready") +
                   R"(","coldLeftMs":0,"dbRole":")" +
                   (self.is_primary ? "primary" : "replica") + R"(","seqNo":)" +
                   std::to_string(++self.sequence) + R"(,"born":)" +
                   std::to_string(self.born) + '}';
        }
        for (auto tries = 0; tries < control_members; ++tries) {
            const auto host = net + '.' + std::to_string(1 + node);
            if (http(host, "PUT", "/api/instances/" + self.id, body) / 100 == 2)
            {
                break;
            }
            node = (node + 1) % control_members;
        }
        const auto lock = std::lock_guard(mutex);
        self.node = node;
    }
}

/// Takes effect some hundred milliseconds after the call.
auto promote(const std::string& id) -> void
{
    std::thread([id] {
        std::this_thread::sleep_for(promotion_time);
        const auto lock = std::lock_guard(mutex);
        ++group_term;
        auto* named = static_cast<server*>(nullptr);
        for (auto& each : servers) {
            each.is_primary = each.id == id;
            each.paused_by = 0;
            named = each.id == id ? &each : named;
        }
        named->newest = group_term;
        note(id + " leads term " + std::to_string(group_term) + " with " +
             position_of(*named));
        for (const auto& text : acknowledged) {
            auto is_held = false;
            for (const auto& kept : named->log) {
                is_held |= kept.what.find(text) != std::string::npos;
            }
            if (!is_held) {
                note(id + " lacks the acknowledged " + text);
                is_broken = true;
            }
        }
        replicate();
    }).detach();
}

/// Carries a call to promote out; returns the status. Call with `mutex` held.
auto carry_out(const std::string& id, std::uint64_t token) -> int
{
    if (token < highest_token) {
        note("platform refuses to promote " + id + ": lower fence number");
        return 409;
    }
    highest_token = token;
    for (const auto& each : servers) {
        if (each.id != id) {
            continue;
        }
        if (each.is_dark || !each.is_running) {
            note("platform refuses to promote " + id + ": not running");
            return 409;
        }
        note("platform carries out the call to promote " + id);
        if (!each.is_primary) {
            promotions.push_back(id);
            promote(id);
        }
    }
    return 200;
}

auto serve_platform(int descriptor) -> void
{
    auto buffer = std::string();
    auto line = std::string();
    auto length = std::size_t{0};
    auto token = std::uint64_t{0};
    while (read_line(descriptor, buffer, line) && !line.empty()) {
        auto lower = line;
        for (auto& letter : lower) {
            letter = static_cast<char>(std::tolower(letter));
        }
        if (lower.starts_with("content-length:")) {
            length = static_cast<std::size_t>(std::atoi(line.c_str() + 15));
        } else if (lower.starts_with("x-fencing-token:")) {
            token = std::strtoull(line.c_str() + 16, nullptr, 10);
        }
    }
    while (buffer.size() < length) {
        char bytes[1024];
        const auto size = ::recv(descriptor, bytes, sizeof bytes, 0);
        if (size <= 0) {
            break;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
    }
    auto id = std::string();
    auto status = 0;
    {
        const auto lock = std::lock_guard(mutex);
        for (const auto& each : servers) {
            if (buffer.find('"' + each.id + '"') != std::string::npos) {
                id = each.id;
            }
        }
        ++calls;
        note("platform is called to promote " + id + " with number " +
             std::to_string(token));
        if (late_calls.empty()) {
            status = carry_out(id, token);
        } else {
            note("platform leaves the call unanswered for now");
            const auto delay = late_calls.front();
            late_calls.erase(late_calls.begin());
            std::thread([id, token, delay] {
                std::this_thread::sleep_for(delay);
                const auto held = std::lock_guard(mutex);
                note("the call to promote " + id + " is " +
                     std::to_string(delay.count()) + " ms late");
                carry_out(id, token);
            }).detach();
        }
    }
    if (status == 0) {
        std::this_thread::sleep_for(milliseconds(3000));
    } else {
        send_all(descriptor, "HTTP/1.1 " + std::to_string(status) +
                                 " -\r\nContent-Length: 0\r\n"
                                 "Connection: close\r\n\r\n");
    }
    ::close(descriptor);
}

/// Sends one write over a session of its own; returns the first line of the
/// answer, empty if there was none.
auto consume(int proxy_port, const std::string& id) -> std::string
{
    const auto descriptor = connect_to(net + ".21", proxy_port);
    if (descriptor < 0) {
        return {};
    }
    auto buffer = std::string();
    auto line = std::string();
    send_all(descriptor, "STARTUP db1 consumer\r\n");
    if (read_line(descriptor, buffer, line) && line.starts_with("READY")) {
        send_all(descriptor, "QUERY " + id + " WRITE item data-" + id + "\r\n");
        line.clear();
        read_line(descriptor, buffer, line);
        if (line.starts_with("COMPLETE")) {
            const auto lock = std::lock_guard(mutex);
            acknowledged.push_back("data-" + id);
        }
    }
    ::close(descriptor);
    return line;
}

auto fail(const std::string& text) -> void
{
    const auto lock = std::lock_guard(mutex);
    note("could not be played: " + text);
    std::_Exit(2);
}

auto wait_for_service(int proxy_port) -> void
{
    auto answer = std::string();
    for (auto tries = 0; tries < 60 && !answer.starts_with("COMPLETE"); ++tries)
    {
        answer = consume(proxy_port, "w" + std::to_string(tries));
        std::this_thread::sleep_for(milliseconds(250));
    }
    if (!answer.starts_with("COMPLETE")) {
        fail("no write is served");
    }
    std::this_thread::sleep_for(milliseconds(3000));
}

auto now_ms() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto begin_draining(server& each) -> void
{
    const auto lock = std::lock_guard(mutex);
    each.is_draining = true;
    note(each.id + " drains");
}

/// The end of a planned shutdown, `drainMs` and a little more later.
auto leave(server& each) -> void
{
    auto node = 0;
    {
        const auto lock = std::lock_guard(mutex);
        each.is_running = false;
        node = each.node;
        note(each.id + " ends and sends DELETE, with " + position_of(each));
    }
    for (auto tries = 0; tries < control_members; ++tries) {
        if (http(net + '.' + std::to_string(1 + node), "DELETE",
                 "/api/instances/" + each.id, "") /
                100 ==
            2)
        {
            return;
        }
        node = (node + 1) % control_members;
    }
    fail("DELETE is not acknowledged");
}

/// Starts again under its id and address, with its log.
auto come_back(server& each) -> void
{
    const auto lock = std::lock_guard(mutex);
    each.is_running = true;
    each.is_draining = false;
    each.paused_by = 0;
    each.born = now_ms();
    each.sequence = 0;
    note(each.id + " starts again with " + position_of(each));
}

auto set_deaf(server& each, bool is_deaf) -> void
{
    const auto lock = std::lock_guard(mutex);
    each.is_deaf = is_deaf;
    note(each.id + (is_deaf ? " receives nothing" : " receives again"));
}

auto set_dark(server& each, bool is_dark) -> void
{
    const auto lock = std::lock_guard(mutex);
    each.is_dark = is_dark;
    note(each.id + (is_dark ? " goes dark" : " is back"));
}

auto verdict() -> int
{
    const auto lock = std::lock_guard(mutex);
    note(is_broken ? "LOST is broken: an acknowledged commit is not in the log "
                     "of the server that was promoted"
                   : "the rule held");
    return is_broken ? 1 : 0;
}

/// A replica leaves while the other one receives nothing, and then the primary
/// goes dark.
auto play_leave(int proxy_port) -> int
{
    constexpr auto drain = milliseconds(7200);
    wait_for_service(proxy_port);
    auto& replica = servers[1];
    if (has_trouble) {
        begin_draining(replica);
        std::this_thread::sleep_for(drain);
        leave(replica);
        std::this_thread::sleep_for(milliseconds(4000));
        come_back(replica);
        std::this_thread::sleep_for(milliseconds(3000));
    }
    begin_draining(replica);
    std::this_thread::sleep_for(drain - milliseconds(2000));
    set_deaf(servers[2], true);
    for (const auto* const id : {"x1", "x2", "x3"}) {
        const auto answer = consume(proxy_port, id);
        const auto lock = std::lock_guard(mutex);
        note("the consumer of " + std::string(id) + " gets " + answer);
    }
    std::this_thread::sleep_for(milliseconds(1900));
    leave(replica);
    std::this_thread::sleep_for(milliseconds(500));
    set_dark(servers[0], true);
    std::this_thread::sleep_for(milliseconds(3000));
    set_deaf(servers[2], false);
    std::this_thread::sleep_for(milliseconds(1500));
    come_back(replica);
    std::this_thread::sleep_for(milliseconds(2500));
    set_dark(servers[0], false);
    std::this_thread::sleep_for(milliseconds(4000));
    return verdict();
}

/// The primary is dark for a while, two calls to promote are carried out late,
/// and a replica restarts meanwhile.
auto play_calls(int proxy_port) -> int
{
    wait_for_service(proxy_port);
    {
        const auto lock = std::lock_guard(mutex);
        if (has_trouble) {
            late_calls = {milliseconds(2300), milliseconds(8000)};
        }
    }
    set_dark(servers[0], true);
    if (!wait_until([] { return calls > 0; }, milliseconds(9000))) {
        fail("no call to promote");
    }
    std::this_thread::sleep_for(milliseconds(200));
    set_dark(servers[0], false);
    auto& replica = servers[2];
    {
        const auto lock = std::lock_guard(mutex);
        replica.is_running = false;
        note(replica.id + " crashes");
    }
    std::this_thread::sleep_for(milliseconds(600));
    come_back(replica);
    const auto until = steady::now() + milliseconds(9000);
    for (auto count = 1; steady::now() < until; ++count) {
        const auto id = "y" + std::to_string(count);
        const auto answer = consume(proxy_port, id);
        {
            const auto lock = std::lock_guard(mutex);
            note("the consumer of " + id + " gets " + answer);
            if (is_broken) {
                break;
            }
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return verdict();
}

/// The primary goes dark twice, and an order between is carried out late.
auto play_resume(int proxy_port) -> int
{
    wait_for_service(proxy_port);

    // The first loss of the primary.
    set_dark(servers[0], true);
    if (!wait_until([] { return servers[1].is_primary; }, milliseconds(9000))) {
        fail("i-b was not promoted");
    }
    if (!wait_until([] { return resumes > 0; }, milliseconds(6000))) {
        fail("i-c was not told to resume");
    }
    set_dark(servers[0], false);
    std::this_thread::sleep_until(first_resume + milliseconds(3000));

    // The second one, and a write that comes meanwhile.
    set_dark(servers[1], true);
    std::thread([proxy_port] {
        std::this_thread::sleep_for(milliseconds(800));
        const auto got = consume(proxy_port, "last");
        const auto lock = std::lock_guard(mutex);
        consumer_answer = got.empty() ? "(closed)" : got;
        note("the consumer of last gets " + consumer_answer);
    }).detach();
    if (!wait_until([] { return promotions.size() > 1; }, milliseconds(9000))) {
        fail("no second promotion");
    }
    std::this_thread::sleep_for(milliseconds(50));
    if (has_trouble) {
        const auto lock = std::lock_guard(mutex);
        const auto late =
            std::chrono::duration<double>(steady::now() - first_resume);
        note("i-c carries out the first RESUME, " +
             std::to_string(late.count()) + " s late");
        servers[2].paused_by = 0;
        if (late.count() < 2 || late.count() > 12) {
            note("could not be played: not within 2 to 12 s");
            return 2;
        }
    }
    set_dark(servers[1], false);
    std::this_thread::sleep_for(milliseconds(4000));

    return verdict();
}

} // namespace

auto main(int count, char** arguments) -> int
{
    if (count != 6) {
        return 2;
    }
    net = arguments[1];
    port = std::atoi(arguments[2]);
    has_trouble = std::string(arguments[4]) != "0";
    constexpr auto ids = std::array{"i-a", "i-b", "i-c"};
    for (auto index = std::size_t{0}; index < servers.size(); ++index) {
        auto& each = servers[index];
        each.id = ids[index];
        each.address = net + '.' + std::to_string(11 + index);
        each.is_primary = index == 0;
        each.born = now_ms();
        each.node = static_cast<int>(index);
        accept_all(listen_at(each.address, port),
                   [&each](int descriptor) { serve(each, descriptor); });
        std::thread([&each] { ping(each); }).detach();
    }
    accept_all(listen_at(net + ".250", port), serve_platform);
    std::thread([] {
        for (;;) {
            std::this_thread::sleep_for(milliseconds(3));
            const auto lock = std::lock_guard(mutex);
            replicate();
        }
    }).detach();
    const auto proxy_port = std::atoi(arguments[3]);
    const auto events = std::string(arguments[5]);
    std::_Exit(events == "leave"    ? play_leave(proxy_port)
               : events == "resume" ? play_resume(proxy_port)
                                    : play_calls(proxy_port));
}
