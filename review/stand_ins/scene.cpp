#include "scene.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

namespace review {

namespace {

using asio::ip::tcp;

constexpr auto heartbeat = 1200ms;
constexpr auto call_patience = 1000ms;
constexpr auto regions =
    std::array<const char*, 3>{"almaty", "astana", "aktobe"};

auto random_number() -> std::uint64_t
{
    static auto source = std::random_device();
    return source();
}

auto unix_ms() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// The text field of a flat JSON object.
auto text_field(const std::string& body, const std::string& name) -> std::string
{
    const auto key = '"' + name + "\":\"";
    const auto at = body.find(key);
    if (at == std::string::npos) {
        return {};
    }
    const auto first = at + key.size();
    return body.substr(first, body.find('"', first) - first);
}

auto header_field(const std::string& head, std::string name) -> std::string
{
    auto lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) {
                       return static_cast<char>(std::tolower(letter));
                   });
    name = "\r\n" + name + ": ";
    const auto at = lower.find(name);
    if (at == std::string::npos) {
        return {};
    }
    const auto first = at + name.size();
    return head.substr(first, head.find("\r\n", first) - first);
}

auto is_free(const std::string& address, std::uint16_t port) -> bool
{
    auto context = asio::io_context();
    auto acceptor = tcp::acceptor(context);
    auto error = boost::system::error_code();
    acceptor.open(tcp::v4(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind({asio::ip::make_address(address), port}, error);
    if (!error) {
        acceptor.listen(1, error);
    }
    return !error;
}

/// A loopback network in which every port that the case uses is free.
auto find_places() -> places
{
    constexpr auto metrics_port = std::uint16_t{9464};
    for (auto attempt = 0; attempt < 50; ++attempt) {
        auto found = places{};
        found.prefix = "127." + std::to_string(20 + random_number() % 200) +
                       '.' + std::to_string(1 + random_number() % 250) + '.';
        found.base = static_cast<std::uint16_t>(20000 + random_number() % 8000);
        auto is_usable = is_free(found.host(11), metrics_port);
        for (auto port = 0; port < 10; ++port) {
            is_usable = is_usable && is_free(found.host(11), found.port(port));
        }
        if (is_usable) {
            return found;
        }
    }
    throw cannot_run("no free ports");
}

} // namespace

recorder::recorder(const std::filesystem::path& file)
    : out_(file, std::ios::trunc)
{
    if (!out_) {
        throw cannot_run("the record cannot be written");
    }
}

auto recorder::elapsed_ms() const -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - start_)
        .count();
}

auto recorder::note(const std::string& text) -> void
{
    const auto ms = elapsed_ms();
    auto time = std::to_string(ms % 1000);
    time.insert(0, 3 - time.size(), '0');
    out_ << ms / 1000 << '.' << time << ' ' << text << std::endl;
}

auto take_word(std::string_view& text) -> std::string
{
    const auto end = std::min(text.find(' '), text.size());
    auto word = std::string(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

auto next_id() -> std::string
{
    static auto last = random_number() << 20U;
    auto out = std::ostringstream();
    out << std::hex << ++last;
    return out.str();
}

/// A connection of the system to a server.
struct scene::session
{
    database_server& server;
    std::uint64_t run = 0;
    std::size_t number = 0;
    char state = 'I';
    bool is_read_only = false;
    std::uint64_t term = 0;
    std::string written;
    std::map<std::string, std::string> prepared;
};

scene::scene(asio::io_context& io, std::filesystem::path root,
             const std::filesystem::path& record, deployment_options chosen)
    : options(chosen), context(io), root_(std::move(root)), record_(record)
{
    where = find_places();
    auto name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw cannot_run("no temporary folder");
    }
    folder_ = name;
    const auto add = [&](std::vector<node>& to, const std::string& role,
                         std::size_t number, const std::string& address) {
        auto each = node{};
        each.name = role + '-' + std::to_string(number);
        each.role = role;
        each.address = address;
        each.settings = folder_ / (each.name + ".toml");
        each.data = folder_ / each.name;
        each.log = folder_ / (each.name + ".log");
        std::filesystem::create_directories(each.data);
        to.push_back(std::move(each));
    };
    for (auto n = std::size_t{0}; n < options.controls; ++n) {
        add(controls, "control", n, where.control(n));
    }
    for (auto n = std::size_t{0}; n < options.proxies; ++n) {
        add(proxies, "proxy", n, where.proxy(n));
    }
}

scene::~scene()
{
    for (auto* const all : {&controls, &proxies}) {
        for (auto& each : *all) {
            if (each.process > 0) {
                kill(each.process, SIGKILL);
                waitpid(each.process, nullptr, 0);
            }
        }
    }
    auto ignored = std::error_code();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder_, ignored);
    } else {
        std::cerr << folder_ << '\n';
    }
}

auto scene::broken(const std::string& text) -> void
{
    ++breaks_;
    note("BROKEN " + text);
}

auto scene::write_settings(const node& which, bool is_first) -> void
{
    const auto is_control = which.role == "control";
    const auto place = static_cast<std::size_t>(which.name.back() - '0') % 3;
    const auto endpoint = [&](int port) {
        return '"' + which.address + ':' + std::to_string(where.port(port)) +
               '"';
    };
    auto file = std::ofstream(which.settings, std::ios::trunc);
    file << "nodeName = \"" << which.name << "\"\nrole = \"" << which.role
         << "\"\nmachineClass = \"" << (is_control ? "core" : "edge")
         << "\"\nserves = [\"" << (is_control ? "control_plane" : "edge")
         << "\"]\nip = \"" << which.address << "\"\nzone = \""
         << regions.at(place) << "-a\"\nregion = \"" << regions.at(place)
         << "\"\ninternalPorts = [" << where.port(places::peer_port) << ','
         << where.port(places::peer_port + 2) << "]\nseeds = [";
    for (auto n = std::size_t{0}; n < std::min<std::size_t>(3, controls.size());
         ++n)
    {
        file << (n == 0 ? "" : ",") << '"' << controls[n].address << ':'
             << where.port(places::control_port) << '"';
    }
    file << "]\nbootstrap = " << (is_first ? "true" : "false")
         << "\ninTolerance = " << (is_control ? "true" : "false")
         << "\ndiscovery = \"registration\"\nentry = \"vip\"\n"
            "heartbeatMs = 1200\ncontracts = [\"base\",\"drain\",\"config\","
            "\"cost\",\"recover\",\"sql\"]\nconfig_mode = \"highest\"\n";
    if (is_control) {
        file << "dataDir = \"" << which.data.string()
             << "\"\n[listen]\ncontrol = " << endpoint(places::control_port);
    } else {
        file << "[listen]\nfront = " << endpoint(places::front_port)
             << "\nreadiness = " << endpoint(places::ready_port);
    }
    file
        << "\n[zones]\nalmaty-a = \"almaty\"\nastana-a = \"astana\"\n"
           "aktobe-a = \"aktobe\"\n[limits]\ncpuShare = 0.6\ncpuCores = 1\n"
           "memoryMb = 256\nmaxFds = 3010\nlinkMbps = 700.0\ndiskMb = 128\n"
           "[faultTolerance]\nmachines = "
        << options.tolerated_losses
        << "\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\n"
           "stableWindowMs = 5000\nackMs = 6000\ncatchUpS = 4\n"
           "drainMs = 7000\ngraceS = 6\nlossSlackMs = 200\n"
           "applyDeadlineMs = 4000\nrollbackSlackMs = 250\n"
           "maxSkewMs = 15000\nrecoveryS = 12\nfencing = "
        << (options.fencing ? "true" : "false")
        << "\nthawSlackMs = 300\n[cloud]\naddress = \"" << where.provider()
        << ':' << where.port(places::provider_port)
        << "\"\nratePerS = 50.0\nduties = [\"failover\"]\ndutyPerS = 50.0\n";
}

auto scene::start(node& which) -> void
{
    auto variable = "RHUBARBRUN_NODE_FILE=" + which.settings.string();
    auto program = (root_ / "target/programs/rhubarbrun-platform").string();
    auto role = which.role;
    auto arguments = std::array<char*, 3>{program.data(), role.data(), nullptr};
    auto environment = std::array<char*, 2>{variable.data(), nullptr};
    auto actions = posix_spawn_file_actions_t{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, which.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const auto error =
        posix_spawn(&which.process, program.c_str(), &actions, nullptr,
                    arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        which.process = 0;
        throw cannot_run("cannot start " + program);
    }
    note("process " + which.name + " starts as process " +
         std::to_string(which.process));
}

auto scene::start_all() -> void
{
    for (auto* const all : {&controls, &proxies}) {
        for (auto& each : *all) {
            write_settings(each, true);
        }
    }
    for (auto* const all : {&controls, &proxies}) {
        for (auto& each : *all) {
            start(each);
        }
    }
}

auto scene::signal(node& which, int number) -> void
{
    if (which.process > 0) {
        kill(which.process, number);
        note("process " + which.name + " gets signal " +
             std::to_string(number));
    }
    write_settings(which, false);
}

auto scene::is_running(node& which) -> bool
{
    auto status = 0;
    if (which.process > 0 &&
        waitpid(which.process, &status, WNOHANG) == which.process)
    {
        which.process = 0;
        note("process " + which.name + " ended with status " +
             std::to_string(status));
    }
    return which.process > 0;
}

auto scene::leader() -> task<std::optional<std::size_t>>
{
    for (auto n = std::size_t{0}; n < controls.size(); ++n) {
        const auto got =
            co_await http(controls[n].address, where.port(places::control_port),
                          "GET", "/v1/dump", {}, 300ms);
        if (got.body.find("\"role\":\"leader\"") != std::string::npos) {
            co_return n;
        }
    }
    co_return std::nullopt;
}

auto scene::add_server(std::string id, std::string zone, milliseconds distance)
    -> database_server&
{
    auto each = std::make_unique<database_server>();
    each->id = std::move(id);
    each->zone = std::move(zone);
    each->distance = distance;
    each->address = where.server(last_server_++);
    each->port = where.port(places::server_port);
    servers.push_back(std::move(each));
    return *servers.back();
}

auto scene::run_server(database_server& server) -> void
{
    server.is_running = true;
    ++server.run;
    server.born = unix_ms();
    server.sequence = 0;
    server.acceptor = std::make_unique<tcp::acceptor>(
        context,
        tcp::endpoint(asio::ip::make_address(server.address), server.port));
    note("server " + server.id + " starts at " + server.address + " as " +
         (server.is_primary ? "primary" : "replica") + " with position " +
         std::to_string(server.term) + '.' + std::to_string(server.log.size()));
    accept(server);
    spawn(announce_forever(server));
}

auto scene::crash_server(database_server& server) -> void
{
    note("server " + server.id + " crashes with position " +
         std::to_string(server.term) + '.' + std::to_string(server.log.size()));
    server.is_running = false;
    ++server.run;
    server.connections = 0;
    server.acceptor.reset();
    auto ignored = boost::system::error_code();
    for (const auto& socket : std::exchange(server.open, {})) {
        socket->close(ignored);
    }
}

auto scene::server(const std::string& id) -> database_server&
{
    for (auto& each : servers) {
        if (each->id == id) {
            return *each;
        }
    }
    throw cannot_run("no server " + id);
}

auto scene::primary() -> database_server*
{
    for (auto& each : servers) {
        if (each->is_running && each->is_primary) {
            return each.get();
        }
    }
    return nullptr;
}

auto scene::accept(database_server& server) -> void
{
    auto socket = std::make_shared<tcp::socket>(context);
    server.acceptor->async_accept(
        *socket, [this, &server, socket](boost::system::error_code error) {
            if (error || !server.acceptor) {
                return;
            }
            spawn(serve(socket, server));
            accept(server);
        });
}

auto scene::serve(std::shared_ptr<tcp::socket> socket, database_server& server)
    -> task<>
{
    auto caller = session{server, server.run, 0, 'I', false, 0, {}, {}};
    caller.number = ++last_connection_;
    ++server.connections;
    server.open.insert(socket);
    auto buffer = std::string();
    auto is_started = false;
    auto ignored = boost::system::error_code();
    socket->set_option(tcp::no_delay(true), ignored);
    try {
        for (;;) {
            const auto size = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(buffer), "\r\n",
                asio::use_awaitable);
            const auto line = buffer.substr(0, size - 2);
            buffer.erase(0, size);
            auto reply = std::string();
            if (!is_started) {
                auto rest = std::string_view(line);
                const auto word = take_word(rest);
                const auto name = take_word(rest);
                take_word(rest);
                is_started = word == "STARTUP" && name == service &&
                             (rest.empty() || rest == server.id);
                reply = is_started
                            ? "READY I " + std::to_string(server.term) + '.' +
                                  std::to_string(server.log.size()) + "\r\n"
                            : "ERROR WRONGNODE another server\r\n";
            } else if (line == "TERMINATE") {
                break;
            } else {
                reply = co_await answer(caller, line);
            }
            if (caller.run != server.run) {
                break;
            }
            if (reply.empty()) {
                continue;
            }
            co_await asio::async_write(*socket, asio::buffer(reply),
                                       asio::use_awaitable);
            if (!is_started) {
                break;
            }
        }
    } catch (const boost::system::system_error&) {
        // The other end closed the connection, which rolls back.
    }
    if (caller.run == server.run) {
        --server.connections;
        server.open.erase(socket);
    }
    socket->close(ignored);
}

auto scene::answer(session& caller, std::string_view line) -> task<std::string>
{
    take_word(line);
    const auto id = take_word(line);
    auto reply = co_await run_text(caller, id, line);
    if (reply.empty()) {
        co_return reply;
    }
    co_return reply + "READY " + caller.state + ' ' +
        std::to_string(caller.server.term) + '.' +
        std::to_string(caller.server.log.size()) + "\r\n";
}

auto scene::run_commit(session& caller, const std::string& id) -> task<bool>
{
    auto& server = caller.server;
    if (caller.written.empty()) {
        co_return true;
    }
    auto each = std::make_shared<commit>();
    each->id = id;
    each->text = std::exchange(caller.written, {});
    each->at = clock::now();
    server.log.push_back(each);
    const auto number = server.log.size();
    note("run commit " + id + " at " + server.id + " as " +
         std::to_string(server.term) + '.' + std::to_string(number) + ": " +
         each->text);
    // The commit is acknowledged once a replica has received it.
    while (options.synchronous_replicas > 0) {
        co_await sleep(1ms);
        if (caller.run != server.run || !server.is_primary) {
            co_return false;
        }
        const auto is_held =
            std::any_of(servers.begin(), servers.end(), [&](const auto& other) {
                return other.get() != &server && other->is_running &&
                       other->log.size() >= number &&
                       other->log[number - 1] == each &&
                       clock::now() - each->at >= 2 * other->distance;
            });
        if (is_held) {
            break;
        }
    }
    co_return true;
}

auto scene::run_text(session& caller, const std::string& id,
                     std::string_view text) -> task<std::string>
{
    auto& server = caller.server;
    const auto whole = std::string(text);
    auto statement = whole;
    auto word = take_word(text);
    if (word == "WAITLSN") {
        const auto position = take_word(text);
        const auto dot = position.find('.');
        if (std::stoull(position.substr(0, dot)) > server.term ||
            std::stoull(position.substr(dot + 1)) > server.log.size())
        {
            co_return "ERROR LAGGING behind\r\n";
        }
        statement = text;
        word = take_word(text);
    }
    if (word == "STEPDOWN" || word == "PAUSE" || word == "RESUME") {
        note("order " + whole + " arrives at " + server.id);
        const auto run = server.run;
        const auto is_late = are_orders_late && orders++ % 2 == 0;
        const auto given = std::string(text);
        if (is_late) {
            co_await sleep(order_delay);
        }
        if (run == server.run && word == "STEPDOWN" &&
            std::stoull(given) > server.term && server.is_primary)
        {
            server.is_primary = false;
            note("server " + server.id + " is a replica now, at " +
                 std::to_string(server.term) + '.' +
                 std::to_string(server.log.size()));
        }
        if (word != "STEPDOWN") {
            server.is_deaf = word == "PAUSE";
        }
        if (is_late) {
            co_return std::string();
        }
    }
    if (word == "STATUS" || word == "STEPDOWN" || word == "PAUSE" ||
        word == "RESUME")
    {
        const auto term = std::to_string(server.term);
        const auto row =
            std::string(server.is_primary ? "primary " : "replica ") + term +
            ' ' + term + '.' + std::to_string(server.log.size()) + " 0 0 0 " +
            std::to_string(server.connections);
        note("status of " + server.id + ": " + row);
        co_return "DATAROW " + row + "\r\nCOMPLETE -\r\n";
    }
    if (word == "ROLLBACK") {
        caller.state = 'I';
        caller.written.clear();
        co_return "COMPLETE -\r\n";
    }
    if (word == "DISCARD" || word == "SET" || word == "CLOSE") {
        if (word == "DISCARD") {
            caller.prepared.clear();
        }
        co_return "COMPLETE -\r\n";
    }
    if (word == "PREPARE") {
        const auto name = take_word(text);
        caller.prepared[name] = take_word(text);
        co_return "COMPLETE -\r\n";
    }
    if (caller.state == 'E') {
        co_return "ERROR MALFORMED the transaction failed\r\n";
    }
    if (word == "EXECUTE") {
        const auto found = caller.prepared.find(take_word(text));
        if (found == caller.prepared.end()) {
            co_return "ERROR UNKNOWN no such name\r\n";
        }
        word = found->second;
    }
    const auto has_lost_lead =
        caller.state == 'T' && !caller.is_read_only &&
        (!server.is_primary || caller.term != server.term);
    if (has_lost_lead && (word != "COMMIT" || !caller.written.empty())) {
        caller.state = 'E';
        co_return "ERROR READONLY " + server.id + "\r\n";
    }
    if (word == "BEGIN") {
        if (text != "READ" && !server.is_primary) {
            co_return "ERROR READONLY " + server.id + "\r\n";
        }
        caller.state = 'T';
        caller.is_read_only = text == "READ";
        caller.term = server.term;
        co_return "COMPLETE -\r\n";
    }
    arrived.insert(id);
    statements.emplace_back(id, statement);
    co_await sleep(statement_time);
    if (caller.run != server.run) {
        co_return std::string();
    }
    const auto proof = "COMPLETE 7." + next_id() + "\r\n";
    if (word == "READ") {
        note("run READ " + id + " at " + server.id);
        co_return "DATAROW row\r\n" + proof;
    }
    if (word != "WRITE" && word != "COMMIT") {
        co_return "ERROR MALFORMED not a statement\r\n";
    }
    const auto is_commit = word == "COMMIT";
    if (!server.is_primary && (!is_commit || !caller.written.empty())) {
        caller.state = caller.state == 'T' ? 'E' : 'I';
        co_return "ERROR READONLY " + server.id + "\r\n";
    }
    if (!is_commit) {
        caller.written = text;
        if (caller.state == 'T') {
            co_return proof;
        }
    }
    caller.state = 'I';
    const auto is_kept = co_await run_commit(caller, id);
    co_return is_kept ? proof : std::string();
}

auto scene::replicate() -> task<>
{
    while (!is_over) {
        if (const auto* const leading = primary()) {
            const auto now = clock::now();
            for (auto& each : servers) {
                if (each.get() == leading || !each->is_running || each->is_deaf)
                {
                    continue;
                }
                each->term = leading->term;
                auto& log = each->log;
                while (log.size() < leading->log.size() &&
                       now - leading->log[log.size()]->at >= each->distance)
                {
                    log.push_back(leading->log[log.size()]);
                }
            }
        }
        co_await sleep(1ms);
    }
}

auto scene::announce_forever(database_server& server) -> task<>
{
    const auto run = server.run;
    while (!is_over && run == server.run) {
        co_await announce(server);
        const auto was_primary = server.is_primary;
        const auto state = server.state;
        const auto end = clock::now() + heartbeat;
        while (run == server.run && clock::now() < end &&
               was_primary == server.is_primary && state == server.state)
        {
            co_await sleep(20ms);
        }
    }
}

auto scene::announce(database_server& server) -> task<>
{
    const auto run = server.run;
    const auto state = server.state;
    const auto number = ++server.sequence;
    const auto body =
        std::string("{\"service\":\"") + service + "\",\"address\":\"" +
        server.address + ':' + std::to_string(server.port) + "\",\"zone\":\"" +
        server.zone + "\",\"version\":\"v1\",\"capacity\":5,\"state\":\"" +
        state + "\",\"coldLeftMs\":0,\"dbRole\":\"" +
        (server.is_primary ? "primary" : "replica") +
        "\",\"born\":" + std::to_string(server.born) +
        ",\"seqNo\":" + std::to_string(number) + '}';
    for (auto attempt = std::size_t{0}; attempt < controls.size(); ++attempt) {
        const auto& to = controls[next_control_++ % controls.size()];
        const auto got =
            co_await http(to.address, where.port(places::control_port), "PUT",
                          "/api/instances/" + server.id, body, call_patience);
        if (run != server.run) {
            co_return;
        }
        if (got.status >= 200 && got.status < 300) {
            if (state == "draining" && !server.drain_acknowledged_at) {
                server.drain_acknowledged_at = clock::now();
                note("draining of " + server.id + " acknowledged by " +
                     to.name);
            }
            co_return;
        }
    }
}

auto scene::start_provider() -> void
{
    const auto endpoint =
        tcp::endpoint(asio::ip::make_address(where.provider()),
                      where.port(places::provider_port));
    provider_ = std::make_unique<tcp::acceptor>(context);
    provider_->open(endpoint.protocol());
    provider_->set_option(tcp::acceptor::reuse_address(true));
    provider_->bind(endpoint);
    provider_->listen(1);
    provider_->non_blocking(true);
    spawn(accept_provider());
    spawn(replicate());
}

auto scene::set_provider_busy(bool is_busy) -> void
{
    is_provider_busy_ = is_busy;
    note(is_busy ? "provider accepts no connection"
                 : "provider accepts connections again");
    queue_.clear();
    for (auto n = 0; is_busy && n < 4; ++n) {
        queue_.push_back(std::make_unique<tcp::socket>(context));
        queue_.back()->async_connect(provider_->local_endpoint(),
                                     [](boost::system::error_code) {});
    }
}

auto scene::accept_provider() -> task<>
{
    while (!is_over) {
        auto error = boost::system::error_code();
        auto socket = tcp::socket(context);
        if (!is_provider_busy_) {
            provider_->accept(socket, error);
        }
        if (!is_provider_busy_ && !error) {
            spawn(serve_provider(std::move(socket)));
        } else {
            co_await sleep(5ms);
        }
    }
}

auto scene::serve_provider(tcp::socket socket) -> task<>
{
    try {
        auto buffer = std::string();
        const auto size = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
            asio::use_awaitable);
        const auto head = buffer.substr(0, size);
        auto body = buffer.substr(size);
        const auto length = header_field(head, "content-length");
        const auto wanted = length.empty() ? 0 : std::stoul(length);
        while (body.size() < wanted) {
            auto more = std::array<char, 4096>{};
            const auto got = co_await socket.async_read_some(
                asio::buffer(more), asio::use_awaitable);
            body.append(more.data(), got);
        }
        const auto fence = std::stoull(header_field(head, "x-fencing-token"));
        const auto holder = header_field(head, "x-lease-holder");
        const auto id = text_field(body, "id");
        note("promote " + id + " called by " + holder + " with fence " +
             std::to_string(fence));
        if (on_promote_call) {
            on_promote_call(holder, fence, id);
        }
        const auto status = co_await promote(id, fence);
        note("promote " + id + " with fence " + std::to_string(fence) +
             " answered " + std::to_string(status));
        const auto reply = "HTTP/1.1 " + std::to_string(status) +
                           " Answer\r\nContent-Length: 0\r\n"
                           "Connection: close\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(reply),
                                   asio::use_awaitable);
    } catch (const boost::system::system_error&) {
        // The caller is gone.
    }
}

auto scene::promote(std::string id, std::uint64_t fence) -> task<unsigned>
{
    if (options.fencing && fence < highest_fence_) {
        co_return 409U;
    }
    highest_fence_ = std::max(highest_fence_, fence);
    co_await sleep(promotion_time);
    for (auto& each : servers) {
        if (each->id == id && each->is_running) {
            if (!each->is_primary) {
                lead(*each);
            }
            co_return 200U;
        }
    }
    co_return 409U;
}

auto scene::lead(database_server& server) -> void
{
    if (on_promoted) {
        on_promoted(server);
    }
    auto newest = std::uint64_t{0};
    for (const auto& each : servers) {
        newest = std::max(newest, each->term);
    }
    note("server " + server.id + " leads term " + std::to_string(newest + 1) +
         " from position " + std::to_string(server.log.size()));
    server.is_primary = true;
    server.is_deaf = false;
    server.term = newest + 1;
    for (auto& each : servers) {
        if (each.get() != &server) {
            each->is_primary = false;
            each->log.resize(std::min(each->log.size(), server.log.size()));
        }
    }
}

auto scene::check_promoted(const database_server& promoted,
                           const std::set<std::string>& acknowledged) -> void
{
    auto held = std::set<std::string>();
    for (const auto& each : promoted.log) {
        held.insert(each->id);
    }
    auto lost = std::size_t{0};
    for (const auto& id : acknowledged) {
        if (!held.contains(id)) {
            ++lost;
            note("acknowledged commit " + id + " is not in the log of " +
                 promoted.id);
        }
    }
    if (lost > 0) {
        broken("LOST: " + std::to_string(lost) +
               " acknowledged commits are not in the log of " + promoted.id +
               ", which is promoted");
    }
}

auto scene::route(const std::string& database, const std::string& type) const
    -> std::string
{
    return "{\"name\":\"r-" + database + "\",\"host\":\"" + database +
           "\",\"pathPrefix\":\"/\",\"type\":\"" + type +
           "\",\"timeoutMs\":" + std::to_string(options.statement_timeout) +
           ",\"targetLatencyMs\":" + std::to_string(options.latency_objective) +
           ",\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":2" +
           (type == "primary" ? "" : ",\"maxStalenessMs\":1500") + '}';
}

auto scene::document(std::uint64_t version, const std::string& routes) const
    -> std::string
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
           routes + "],\"services\":[{\"name\":\"" + service +
           "\",\"healthPath\":\"/health\",\"maxConns\":" +
           std::to_string(options.connections_per_server) +
           ",\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":" +
           std::to_string(options.synchronous_replicas) +
           "}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
           "\"txIdleMs\":3000}}";
}

auto scene::put_configuration(const std::string& text) -> task<>
{
    const auto end = clock::now() + 20s;
    for (auto n = std::size_t{0}; clock::now() < end; ++n) {
        auto address = controls[n % controls.size()].address;
        for (auto hop = 0; hop < 3; ++hop) {
            const auto got =
                co_await http(address, where.port(places::control_port), "PUT",
                              "/api/config", text, 2000ms);
            if (got.status == 200) {
                note("configuration acknowledged by " + address);
                co_return;
            }
            if (got.status != 307) {
                break;
            }
            const auto host = got.location.substr(7);
            address = host.substr(0, host.find(':'));
        }
        co_await sleep(300ms);
    }
    throw cannot_run("no configuration was acknowledged");
}

auto scene::sleep(milliseconds time) -> task<>
{
    auto timer = asio::steady_timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

auto scene::http(const std::string& address, std::uint16_t port,
                 const std::string& method, const std::string& path,
                 std::string body, milliseconds patience) -> task<http_answer>
{
    auto socket = std::make_shared<tcp::socket>(context);
    auto timer = std::make_shared<asio::steady_timer>(context, patience);
    timer->async_wait([socket](boost::system::error_code error) {
        if (!error) {
            auto ignored = boost::system::error_code();
            socket->close(ignored);
        }
    });
    auto result = http_answer{};
    const auto host = address + ':' + std::to_string(port);
    try {
        co_await socket->async_connect({asio::ip::make_address(address), port},
                                       asio::use_awaitable);
        const auto request =
            method + ' ' + path + " HTTP/1.1\r\nHost: " + host +
            "\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" +
            body;
        co_await asio::async_write(*socket, asio::buffer(request),
                                   asio::use_awaitable);
        auto reply = std::string();
        auto error = boost::system::error_code();
        co_await asio::async_read(
            *socket, asio::dynamic_buffer(reply),
            asio::redirect_error(asio::use_awaitable, error));
        const auto end = reply.find("\r\n\r\n");
        if (end != std::string::npos && reply.starts_with("HTTP/1.1 ")) {
            result.status =
                static_cast<unsigned>(std::stoul(reply.substr(9, 3)));
            result.location =
                header_field(reply.substr(0, end + 2), "location");
            result.body = reply.substr(end + 4);
        }
    } catch (const boost::system::system_error&) {
        // No answer.
    }
    timer->cancel();
    co_return result;
}

auto scene::spawn(task<> work) -> void
{
    asio::co_spawn(context, std::move(work),
                   [this](const std::exception_ptr& fault) {
                       if (!fault || is_over) {
                           return;
                       }
                       try {
                           std::rethrow_exception(fault);
                       } catch (const std::exception& error) {
                           fault_ = error.what();
                           note("stand-in failed: " + fault_);
                       }
                       context.stop();
                   });
}

auto scene::play(task<> script) -> int
{
    spawn([](scene& self, task<> inner) -> task<> {
        co_await std::move(inner);
        self.is_over = true;
        self.context.stop();
    }(*this, std::move(script)));
    context.run_for(115s);
    if (!is_over && fault_.empty()) {
        fault_ = "the script did not end in time";
    }
    is_over = true;
    if (!fault_.empty()) {
        note("could not run: " + fault_);
        return 2;
    }
    note(is_broken() ? "result: the rule was broken" : "result: held");
    return is_broken() ? 1 : 0;
}

consumer::consumer(scene& world, std::string address)
    : world_(world), address_(std::move(address)), socket_(world.context)
{
}

consumer::~consumer() = default;

auto consumer::close() -> void
{
    auto ignored = boost::system::error_code();
    socket_.close(ignored);
}

auto consumer::read_line(milliseconds patience) -> task<std::string>
{
    auto timer = std::make_shared<asio::steady_timer>(world_.context, patience);
    timer->async_wait([this, timer](boost::system::error_code error) {
        if (!error) {
            close();
        }
    });
    auto error = boost::system::error_code();
    const auto size = co_await asio::async_read_until(
        socket_, asio::dynamic_buffer(input_), "\r\n",
        asio::redirect_error(asio::use_awaitable, error));
    timer->cancel();
    if (error) {
        co_return std::string();
    }
    auto line = input_.substr(0, size - 2);
    input_.erase(0, size);
    co_return line;
}

auto consumer::start(const std::string& database) -> task<bool>
{
    auto error = boost::system::error_code();
    co_await socket_.async_connect(
        {asio::ip::make_address(address_),
         world_.where.port(places::front_port)},
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    const auto line = "STARTUP " + database + " clerk\r\n";
    co_await asio::async_write(
        socket_, asio::buffer(line),
        asio::redirect_error(asio::use_awaitable, error));
    const auto reply = co_await read_line(2000ms);
    co_return reply.starts_with("READY");
}

auto consumer::ask(const std::string& id, const std::string& text,
                   milliseconds patience) -> task<std::vector<std::string>>
{
    auto lines = std::vector<std::string>();
    const auto line = "QUERY " + id + ' ' + text + "\r\n";
    world_.note("consumer sends " + id + ' ' + text);
    auto error = boost::system::error_code();
    co_await asio::async_write(
        socket_, asio::buffer(line),
        asio::redirect_error(asio::use_awaitable, error));
    while (!error) {
        auto each = co_await read_line(patience);
        if (each.empty()) {
            break;
        }
        const auto is_last = each.starts_with("READY");
        lines.push_back(std::move(each));
        if (is_last) {
            world_.note(
                "consumer gets " + id + ": " +
                lines[lines.size() - std::min<std::size_t>(2, lines.size())]);
            co_return lines;
        }
    }
    world_.note("consumer gets " + id + ": the connection ends");
    co_return std::vector<std::string>();
}

} // namespace review
