#ifndef RHUBARBRUN_REVIEW_DEPLOYMENT_HPP
#define RHUBARBRUN_REVIEW_DEPLOYMENT_HPP

#include "servers.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <filesystem>

// The project's own programs as processes on loopback addresses, and what the
// platform does around them: settings, heartbeats of servers, the operator.

namespace review {

/// One of the programs of the deploy file as a process.
class node
{
public:
    node(std::string name, std::string role, std::string address)
        : name_(std::move(name)),
          role_(std::move(role)),
          address_(std::move(address))
    {
    }
    node(const node&) = delete;
    auto operator=(const node&) -> node& = delete;
    ~node() { kill_and_wait(); }

    [[nodiscard]] auto name() const -> const std::string& { return name_; }
    [[nodiscard]] auto address() const -> const std::string&
    {
        return address_;
    }
    [[nodiscard]] auto is_control() const { return role_ == "control"; }

    auto start(const std::filesystem::path& directory) -> void
    {
        auto variable =
            "RHUBARBRUN_NODE_FILE=" + (directory / (name_ + ".toml")).string();
        const auto log = (directory / (name_ + ".log")).string();
        auto program = std::string("target/programs/rhubarbrun-platform");
        char* arguments[] = {program.data(), role_.data(), nullptr};
        char* environment[] = {variable.data(), nullptr};
        id_ = fork();
        if (id_ == 0) {
            // It ends with the case, however that ends; the thread that starts
            // it has to live as long.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto input = open("/dev/null", O_RDONLY);
            const auto output =
                open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(input, 0);
            dup2(output, 1);
            dup2(output, 2);
            execve(program.c_str(), arguments, environment);
            _exit(2);
        }
    }
    auto signal(int number) -> void
    {
        if (id_ > 0) {
            ::kill(id_, number);
        }
    }
    /// Whether the process has ended.
    auto has_ended() -> bool
    {
        if (id_ > 0 && waitpid(id_, &end_, WNOHANG) == id_) {
            id_ = 0;
        }
        return id_ == 0;
    }
    /// As `waitpid` tells it.
    [[nodiscard]] auto end() const { return end_; }
    auto kill_and_wait() -> void
    {
        if (id_ > 0) {
            ::kill(id_, SIGKILL);
            waitpid(id_, &end_, 0);
            id_ = 0;
        }
    }
    [[nodiscard]] auto id() const { return id_; }

private:
    std::string name_;
    std::string role_;
    std::string address_;
    pid_t id_ = 0;
    int end_ = 0;
};

/// Ports that are the same on all machines.
struct port_numbers
{
    std::uint16_t control = 0;
    std::uint16_t front = 0;
    std::uint16_t readiness = 0;
    std::uint16_t server = 0;
    std::uint16_t cloud = 0;
    /// The first of sixteen.
    std::uint16_t inner = 0;
};

/// Ports that are free at every address, below those that the kernel gives out.
inline auto find_free_ports() -> port_numbers
{
    constexpr auto first = 12'000;
    constexpr auto last = 30'000;
    constexpr auto inner_count = 16;
    auto next = first + static_cast<int>(getpid()) * 37 % (last - first);
    const auto is_free = [](int port) {
        const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto where = to_sockaddr({"0.0.0.0", static_cast<std::uint16_t>(port)});
        const auto result =
            bind(descriptor, reinterpret_cast<const sockaddr*>(&where),
                 sizeof where);
        close(descriptor);
        return result == 0;
    };
    const auto take = [&](int count) {
        for (auto found = 0; found < count;) {
            next = next < last ? next + 1 : first;
            found = is_free(next) ? found + 1 : 0;
        }
        return static_cast<std::uint16_t>(next - count + 1);
    };
    auto ports = port_numbers{};
    for (auto* const each : {&ports.control, &ports.front, &ports.readiness,
                             &ports.server, &ports.cloud})
    {
        *each = take(1);
    }
    ports.inner = take(inner_count);
    return ports;
}

class deployment
{
public:
    deployment(record_file& record, std::filesystem::path directory,
               std::size_t controls, std::size_t proxies, std::size_t servers)
        : record_(record),
          directory_(std::move(directory)),
          ports_(find_free_ports())
    {
        std::filesystem::create_directories(directory_);
        // Addresses of its own for each run, so that ports are free on them.
        const auto id = static_cast<unsigned>(getpid());
        prefix_ = "127." + std::to_string(20 + id % 200) + '.' +
                  std::to_string(id / 200 % 250) + '.';
        for (auto index = std::size_t{0}; index < controls; ++index) {
            nodes_.push_back(std::make_unique<node>(
                "core-" + std::to_string(index + 1), "control",
                prefix_ + std::to_string(11 + index)));
        }
        for (auto index = std::size_t{0}; index < proxies; ++index) {
            nodes_.push_back(std::make_unique<node>(
                "edge-" + std::to_string(index + 1), "proxy",
                prefix_ + std::to_string(61 + index)));
        }
        auto host = 31;
        for (const auto* const name : {"winter", "spring", "autumn"}) {
            auto addresses = std::vector<endpoint>();
            for (auto index = std::size_t{0}; index < servers; ++index) {
                addresses.push_back(
                    {prefix_ + std::to_string(host++), ports_.server});
            }
            services_.push_back(std::make_unique<service>(
                record_, name, std::string("i-") + name, addresses));
        }
        db = services_.front().get();
    }
    ~deployment()
    {
        is_stopped_ = true;
        for (auto& thread : threads_) {
            thread.join();
        }
        nodes_.clear();
    }

    /// The service that the routes of `desired_state` name.
    service* db = nullptr;
    /// Limits of the processes, as those of the machines of the site.
    unsigned edge_memory_mb = 182;
    unsigned edge_descriptors = 3010;

    [[nodiscard]] auto controls() const -> std::vector<endpoint>
    {
        auto result = std::vector<endpoint>();
        for (const auto& each : nodes_) {
            if (each->is_control()) {
                result.push_back({each->address(), ports_.control});
            }
        }
        return result;
    }
    [[nodiscard]] auto proxy(std::size_t index) -> node&
    {
        for (auto& each : nodes_) {
            if (!each->is_control() && index-- == 0) {
                return *each;
            }
        }
        std::exit(2);
    }
    [[nodiscard]] auto control(std::size_t index) -> node&
    {
        return *nodes_.at(index);
    }
    [[nodiscard]] auto front(const node& at) const -> endpoint
    {
        return {at.address(), ports_.front};
    }
    /// An address that belongs to no server of the deployment.
    [[nodiscard]] auto strange_address() const -> endpoint
    {
        return {prefix_ + "200", ports_.server};
    }
    [[nodiscard]] auto readiness(const node& at) const -> endpoint
    {
        return {at.address(), ports_.readiness};
    }

    auto start_all() -> void
    {
        for (auto& each : services_) {
            each->start();
        }
        for (auto& each : nodes_) {
            write_settings(*each, true);
            start(*each);
        }
        threads_.emplace_back([this] { send_heartbeats(); });
    }
    auto start(node& each) -> void
    {
        record_.add("start " + each.name());
        each.start(directory_);
    }
    /// The settings of later starts.
    auto end_first_start() -> void
    {
        for (auto& each : nodes_) {
            write_settings(*each, false);
        }
    }

    /// Sends a desired state until it is acknowledged.
    auto configure(const std::string& text, milliseconds patience) -> bool
    {
        const auto until = clock::now() + patience;
        auto turn = std::size_t{0};
        while (clock::now() < until) {
            const auto all = controls();
            auto to = all[turn++ % all.size()];
            for (auto hop = 0; hop < 3; ++hop) {
                const auto answer = http(to, "PUT", "/api/config", text);
                if (answer.status == 200) {
                    return true;
                }
                if (answer.status != 307) {
                    break;
                }
                const auto rest = answer.location.substr(7);
                to.address = rest.substr(0, rest.find(':'));
            }
            std::this_thread::sleep_for(milliseconds(200));
        }
        return false;
    }

    /// Waits until the proxy counts as ready.
    [[nodiscard]] auto wait_ready(const node& at, milliseconds patience) const
        -> bool
    {
        const auto until = clock::now() + patience;
        while (clock::now() < until) {
            if (http(readiness(at), "GET", "/api/ready", "").status == 200) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }

private:
    auto write_settings(const node& at, bool is_first) const -> void
    {
        const auto path = directory_ / (at.name() + ".toml");
        const auto written = directory_ / (at.name() + ".new");
        auto file = std::ofstream(written, std::ios::trunc);
        const auto listen = [&](std::uint16_t port) {
            return '"' + at.address() + ':' + std::to_string(port) + '"';
        };
        file << "nodeName = \"" << at.name() << "\"\nrole = \""
             << (at.is_control() ? "control" : "proxy")
             << "\"\nmachineClass = \"" << (at.is_control() ? "core" : "edge")
             << "\"\nserves = [\""
             << (at.is_control() ? "control_plane" : "edge") << "\"]\nip = \""
             << at.address() << "\"\nzone = \"almaty-a\"\nregion = \"almaty\"\n"
             << "internalPorts = [" << ports_.inner << ',' << ports_.inner + 15
             << "]\nseeds = [";
        auto count = 0;
        for (const auto& each : controls()) {
            file << (count > 0 ? "," : "") << '"' << each.text() << '"';
            if (++count == 3) {
                break;
            }
        }
        file << "]\nbootstrap = " << (is_first ? "true" : "false")
             << "\ninTolerance = " << (at.is_control() ? "true" : "false")
             << "\ndiscovery = \"registration\"\nentry = \"vip\"\n"
             << "heartbeatMs = 1200\ncontracts = [\"base\",\"drain\","
             << "\"config\",\"cost\",\"recover\",\"sql\"]\n"
             << "config_mode = \"highest\"\n";
        if (at.is_control()) {
            const auto data = directory_ / at.name();
            std::filesystem::create_directories(data);
            file << "dataDir = \"" << data.string() << "\"\n";
        }
        file << "[zones]\nalmaty-a = \"almaty\"\n[listen]\n";
        if (at.is_control()) {
            file << "control = " << listen(ports_.control) << '\n';
        } else {
            file << "front = " << listen(ports_.front)
                 << "\nreadiness = " << listen(ports_.readiness) << '\n';
        }
        file << "[limits]\ncpuShare = 1.0\ncpuCores = 1\nmemoryMb = "
             << (at.is_control() ? 256U : edge_memory_mb)
             << "\nmaxFds = " << (at.is_control() ? 4096U : edge_descriptors)
             << "\nlinkMbps = 700.0\ndiskMb = " << (at.is_control() ? 128 : 0)
             << "\n[faultTolerance]\nmachines = " << (controls().size() - 1) / 2
             << "\nzones = 0\nregions = 0\n"
             << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\n"
             << "stableWindowMs = 5000\nackMs = 6000\ncatchUpS = 4\n"
             << "drainMs = 7000\ngraceS = 6\nlossSlackMs = 200\n"
             << "applyDeadlineMs = 4000\nrollbackSlackMs = 250\n"
             << "maxSkewMs = 15000\nrecoveryS = 12\nfencing = true\n"
             << "thawSlackMs = 300\n[cloud]\naddress = \"" << prefix_
             << "9:" << ports_.cloud
             << "\"\nratePerS = 50.0\nduties = [\"failover\"]\n"
             << "dutyPerS = 50.0\n";
        file.close();
        std::filesystem::rename(written, path);
    }

    /// Each server tells a control member of itself about every 1.2 s.
    auto send_heartbeats() -> void
    {
        const auto born =
            std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
        auto sequence = 0;
        auto turn = std::size_t{0};
        while (!is_stopped_) {
            ++sequence;
            for (auto& each : services_) {
                for (auto index = std::size_t{0}; index < each->size(); ++index)
                {
                    announce(*each, index, born, sequence, turn);
                }
            }
            for (auto wait = 0; wait < 12 && !is_stopped_; ++wait) {
                std::this_thread::sleep_for(milliseconds(100));
            }
        }
    }

    auto announce(const service& of, std::size_t index, std::int64_t born,
                  int sequence, std::size_t& turn) const -> void
    {
        const auto body =
            R"({"service":")" + of.name() + R"(","address":")" +
            of.address_of(index).text() +
            R"(","zone":"almaty-a","version":"v1","capacity":5,)" +
            R"("state":"ready","coldLeftMs":0,"dbRole":")" +
            (of.is_primary(index) ? "primary" : "replica") + R"(","born":)" +
            std::to_string(born) + R"(,"seqNo":)" + std::to_string(sequence) +
            '}';
        const auto all = controls();
        for (auto tries = 0U; tries < all.size(); ++tries) {
            if (http(all[turn++ % all.size()], "PUT",
                     "/api/instances/" + of.id_of(index), body)
                    .status == 200)
            {
                return;
            }
        }
    }

    record_file& record_;
    std::filesystem::path directory_;
    const port_numbers ports_;
    std::string prefix_;
    std::vector<std::unique_ptr<service>> services_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<std::thread> threads_;
    std::atomic<bool> is_stopped_ = false;
};

/// What a consumer got for one statement.
struct statement_answer
{
    /// COMPLETE, ERROR, or nothing if there was no whole answer.
    std::string outcome;
    /// The proof, or the code and text of the error.
    std::string detail;
    std::string rows;
    std::string state;
    bool is_late = false;
};

/// A consumer's session; sends one request at a time.
class consumer
{
public:
    consumer(record_file& record, std::string name)
        : record_(record), name_(std::move(name))
    {
    }

    auto start(const endpoint& to, const std::string& database) -> bool
    {
        link_ = connection::open(to);
        const auto is_sent =
            link_.is_open() &&
            link_.send("STARTUP " + database + ' ' + name_ + "\r\n");
        const auto line =
            is_sent ? link_.line(milliseconds(2000)) : std::nullopt;
        if (!line || !line->starts_with("READY")) {
            record_.add("consumer " + name_ + " no session " +
                        line.value_or("-"));
            link_.close();
            return false;
        }
        values.clear();
        return true;
    }
    auto stop() -> void
    {
        link_.send("TERMINATE\r\n");
        link_.close();
    }
    [[nodiscard]] auto is_open() const { return link_.is_open(); }

    auto ask(const std::string& id, const std::string& text,
             milliseconds patience) -> statement_answer
    {
        record_.add("consumer " + name_ + " sent " + id + ' ' +
                    text.substr(0, longest_recorded));
        auto result = statement_answer{};
        if (!link_.send("QUERY " + id + ' ' + text + "\r\n")) {
            link_.close();
            return finish(id, result);
        }
        const auto until = clock::now() + patience;
        for (;;) {
            const auto left =
                std::chrono::duration_cast<milliseconds>(until - clock::now());
            const auto line = link_.line(left);
            if (!line) {
                result = {};
                result.is_late = link_.is_late();
                link_.close();
                return finish(id, result);
            }
            auto rest = std::string_view(*line);
            const auto word = take_word(rest);
            if (word == "DATAROW") {
                result.rows += (result.rows.empty() ? "" : "|");
                result.rows += rest;
            } else if (word == "COMPLETE" || word == "ERROR") {
                result.outcome = word;
                result.detail = rest;
            } else if (word == "READY") {
                result.state = take_word(rest);
                return finish(id, result);
            }
        }
    }

    /// Values that were acknowledged.
    std::map<std::string, std::string> values;

private:
    auto finish(const std::string& id, statement_answer answer)
        -> statement_answer
    {
        record_.add("consumer " + name_ + " got " + id + ' ' +
                    (answer.outcome.empty() ? "nothing" : answer.outcome) +
                    ' ' + answer.detail + " rows " +
                    (answer.rows.empty() ? "-" : answer.rows));
        return answer;
    }

    /// Longer texts are cut in the record.
    static constexpr auto longest_recorded = std::size_t{80};

    record_file& record_;
    std::string name_;
    connection link_;
};

/// A desired state with one service and a database for each kind of route.
inline auto desired_state(std::uint64_t version) -> std::string
{
    const auto route = [](const std::string& name, const std::string& type,
                          int timeout, int objective, int staleness) {
        auto text = R"({"name":"r-)" + name + R"(","host":")" + name +
                    R"(","pathPrefix":"/","type":")" + type +
                    R"(","timeoutMs":)" + std::to_string(timeout) +
                    R"(,"targetLatencyMs":)" + std::to_string(objective) +
                    R"(,"priority":1,"service":"winter","maxAttempts":2)";
        if (staleness > 0) {
            text += R"(,"maxStalenessMs":)" + std::to_string(staleness);
        }
        return text + '}';
    };
    const auto entry = [](const std::string& name) {
        return R"({"name":")" + name +
               R"(","healthPath":"/health","maxConns":71,"protocol":"h1",)"
               R"("tls":false,"syncReplicas":0})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           route("orders", "primary", 1000, 800, 0) + ',' +
           route("stock", "bounded_staleness", 3000, 1200, 1500) + ',' +
           route("loads", "read_your_writes", 1000, 1500, 2500) +
           R"(],"services":[)" + entry("winter") + ',' + entry("spring") + ',' +
           entry("autumn") +
           R"(],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}})";
}

} // namespace review

#endif
