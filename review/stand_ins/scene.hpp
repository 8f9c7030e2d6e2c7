#ifndef REVIEW_STAND_INS_SCENE_HPP
#define REVIEW_STAND_INS_SCENE_HPP

#include <utility> // Boost 1.74 uses std::exchange without it.

#include <boost/asio.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// Stand-ins for everything around the system's processes: database servers,
/// the provider, the operator and consumers. One thread runs all of them.
namespace review {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
template <class Type = void>
using task = asio::awaitable<Type>;

/// The case could not run; it says nothing about the rule.
struct cannot_run : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Writes what was sent, answered and run, with the time since the start.
class recorder
{
public:
    explicit recorder(const std::filesystem::path& file);
    auto note(const std::string& text) -> void;
    [[nodiscard]] auto elapsed_ms() const -> std::int64_t;

private:
    std::ofstream out_;
    clock::time_point start_ = clock::now();
};

/// Removes the text up to the next blank from the front and returns it.
auto take_word(std::string_view& text) -> std::string;

struct http_answer
{
    /// 0 if there was no answer.
    unsigned status = 0;
    std::string location;
    std::string body;
};

/// Addresses and ports of a run: a loopback network of its own.
struct places
{
    std::string prefix;
    std::uint16_t base = 0;

    [[nodiscard]] auto control(std::size_t n) const { return host(11 + n); }
    [[nodiscard]] auto proxy(std::size_t n) const { return host(61 + n); }
    [[nodiscard]] auto server(std::size_t n) const { return host(41 + n); }
    [[nodiscard]] auto provider() const { return host(31); }
    [[nodiscard]] auto host(std::size_t n) const -> std::string
    {
        return prefix + std::to_string(n);
    }
    [[nodiscard]] auto port(int n) const -> std::uint16_t
    {
        return static_cast<std::uint16_t>(base + n);
    }
    static constexpr int control_port = 0;
    static constexpr int front_port = 1;
    static constexpr int ready_port = 2;
    static constexpr int peer_port = 3;
    static constexpr int server_port = 6;
    static constexpr int provider_port = 7;
};

/// A process of the system.
struct node
{
    std::string name;
    std::string role;
    std::string address;
    std::filesystem::path settings;
    std::filesystem::path data;
    std::filesystem::path log;
    pid_t process = 0;
};

struct deployment_options
{
    std::size_t controls = 3;
    std::size_t proxies = 2;
    std::size_t tolerated_losses = 1;
    bool fencing = true;
    std::uint32_t synchronous_replicas = 0;
    std::uint32_t connections_per_server = 71;
    /// Of a route, in milliseconds.
    int statement_timeout = 1000;
    int latency_objective = 800;
};

/// One commit that writes.
struct commit
{
    std::string id;
    std::string text;
    clock::time_point at;
};

struct database_server
{
    std::string id;
    std::string zone;
    std::string address;
    std::uint16_t port = 0;
    bool is_running = false;
    bool is_primary = false;
    /// Receives nothing from the primary.
    bool is_deaf = false;
    std::string state = "ready";
    std::uint64_t term = 1;
    std::vector<std::shared_ptr<commit>> log;
    /// Time for a commit to get from the primary to this replica.
    milliseconds distance{1};
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    /// Raised with each start and end.
    std::uint64_t run = 0;
    std::size_t connections = 0;
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
    std::set<std::shared_ptr<asio::ip::tcp::socket>> open;
    /// When the system acknowledged that the server drains.
    std::optional<clock::time_point> drain_acknowledged_at;
};

/// Everything around the system, and its processes.
class scene
{
public:
    scene(asio::io_context& context, std::filesystem::path root,
          const std::filesystem::path& record, deployment_options options);
    ~scene();
    scene(const scene&) = delete;
    auto operator=(const scene&) -> scene& = delete;

    auto note(const std::string& text) -> void { record_.note(text); }
    /// Notes that the rule was broken.
    auto broken(const std::string& text) -> void;
    [[nodiscard]] auto is_broken() const noexcept -> bool
    {
        return breaks_ > 0;
    }

    // Processes of the system.
    auto start_all() -> void;
    auto start(node& which) -> void;
    auto signal(node& which, int number) -> void;
    /// Whether the process still runs; its end is noted once.
    auto is_running(node& which) -> bool;
    std::vector<node> controls;
    std::vector<node> proxies;
    /// The member that says that it leads.
    auto leader() -> task<std::optional<std::size_t>>;

    // Servers.
    auto add_server(std::string id, std::string zone, milliseconds distance)
        -> database_server&;
    auto run_server(database_server& server) -> void;
    /// Ends a server without a word.
    auto crash_server(database_server& server) -> void;
    [[nodiscard]] auto server(const std::string& id) -> database_server&;
    [[nodiscard]] auto primary() -> database_server*;
    std::vector<std::unique_ptr<database_server>> servers;
    /// Called with the server that is promoted, before it leads.
    std::function<void(database_server&)> on_promoted;
    /// Rule LOST with `syncReplicas`: what was acknowledged to a consumer is in
    /// the log of the server that is promoted.
    auto check_promoted(const database_server& promoted,
                        const std::set<std::string>& acknowledged) -> void;
    /// Whether every second order to a server, the first among them, gets no
    /// answer and is carried out late.
    bool are_orders_late = false;
    milliseconds order_delay{5000};
    std::size_t orders = 0;
    milliseconds statement_time{2};
    /// Ids of the reads, writes and commits that reached a server.
    std::set<std::string> arrived;
    /// The same with their texts.
    std::vector<std::pair<std::string, std::string>> statements;

    // The provider.
    auto start_provider() -> void;
    /// While it is busy, the provider accepts no connection; its queue of new
    /// connections is full, so that opening packets are dropped and sent again.
    auto set_provider_busy(bool is_busy) -> void;
    milliseconds promotion_time{600};
    /// Called with each call to promote, before it is checked.
    std::function<void(const std::string& holder, std::uint64_t fence,
                       const std::string& id)>
        on_promote_call;

    // The operator.
    auto put_configuration(const std::string& document) -> task<>;
    [[nodiscard]] auto document(std::uint64_t version,
                                const std::string& routes) const -> std::string;
    [[nodiscard]] auto route(const std::string& database,
                             const std::string& type) const -> std::string;

    // Tools.
    auto sleep(milliseconds time) -> task<>;
    auto http(const std::string& address, std::uint16_t port,
              const std::string& method, const std::string& path,
              std::string body, milliseconds patience) -> task<http_answer>;
    /// Starts a task; a fault in it ends the case as one that cannot run.
    auto spawn(task<> work) -> void;
    /// Runs the script until it ends, and returns the exit status.
    auto play(task<> script) -> int;

    static constexpr auto service = "dispatch1";
    places where;
    const deployment_options options;
    asio::io_context& context;
    bool is_over = false;

private:
    struct session;

    auto write_settings(const node& which, bool is_first) -> void;
    auto accept(database_server& server) -> void;
    auto serve(std::shared_ptr<asio::ip::tcp::socket> socket,
               database_server& server) -> task<>;
    auto answer(session& caller, std::string_view line) -> task<std::string>;
    auto run_text(session& caller, const std::string& id, std::string_view text)
        -> task<std::string>;
    auto run_commit(session& caller, const std::string& id) -> task<bool>;
    auto replicate() -> task<>;
    auto announce(database_server& server) -> task<>;
    auto announce_forever(database_server& server) -> task<>;
    auto serve_provider(asio::ip::tcp::socket socket) -> task<>;
    auto promote(std::string id, std::uint64_t fence) -> task<unsigned>;
    auto lead(database_server& server) -> void;
    auto accept_provider() -> task<>;

    std::filesystem::path root_;
    std::filesystem::path folder_;
    recorder record_;
    std::size_t breaks_ = 0;
    std::string fault_;
    std::unique_ptr<asio::ip::tcp::acceptor> provider_;
    bool is_provider_busy_ = false;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> queue_;
    std::uint64_t highest_fence_ = 0;
    std::size_t next_control_ = 0;
    std::size_t last_server_ = 0;
    std::size_t last_connection_ = 0;
};

/// A consumer's session at a proxy.
class consumer
{
public:
    consumer(scene& world, std::string address);
    ~consumer();
    auto start(const std::string& database) -> task<bool>;
    /// The lines of the answer, the last of which is READY; empty if the
    /// connection ended or nothing came in time.
    auto ask(const std::string& id, const std::string& text,
             milliseconds patience) -> task<std::vector<std::string>>;
    auto close() -> void;

private:
    auto read_line(milliseconds patience) -> task<std::string>;

    scene& world_;
    std::string address_;
    asio::ip::tcp::socket socket_;
    std::string input_;
};

/// Name of the next request, unlike any other.
auto next_id() -> std::string;

} // namespace review

#endif
