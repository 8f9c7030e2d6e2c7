#ifndef RHUBARBRUN_REVIEW_SERVERS_HPP
#define RHUBARBRUN_REVIEW_SERVERS_HPP

#include "wire.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <thread>
#include <vector>

// One service: a primary and its replicas, with asynchronous replication.

namespace review {

/// One run of a statement that a consumer sent.
struct run_entry
{
    std::string server;
    std::uint64_t connection = 0;
    std::map<std::string, std::string> values;
    std::string text;
    std::string proof;
    std::string rows;
    bool is_in_transaction = false;
};

/// What a server does with the answer to a statement.
enum class answer_fate
{
    given,
    /// The statement ran and its answer is lost.
    lost,
    /// The server fails the statement.
    failed,
};

class service
{
public:
    /// Decides the fate of one statement; `id` is `-` for those that the
    /// system issues itself, `word` is BEGIN, READ, SET and so on.
    using fate_function = std::function<answer_fate(
        std::size_t server, const std::string& id, const std::string& word)>;

    /// The ids of the servers begin with `prefix`.
    service(record_file& record, std::string name, const std::string& prefix,
            const std::vector<endpoint>& addresses)
        : record_(record), name_(std::move(name))
    {
        for (const auto& at : addresses) {
            auto added = std::make_unique<server>();
            added->at = at;
            added->id = prefix + std::to_string(servers_.size() + 1);
            servers_.push_back(std::move(added));
        }
    }

    auto start() -> void
    {
        for (auto index = std::size_t{0}; index < servers_.size(); ++index) {
            const auto listener = listen_at(servers_[index]->at);
            std::thread([this, index, listener] {
                for (;;) {
                    const auto accepted =
                        ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                    if (accepted >= 0) {
                        std::thread([this, index, accepted] {
                            serve(connection(accepted), index);
                        }).detach();
                    }
                }
            }).detach();
        }
    }

    fate_function fate;

    [[nodiscard]] auto name() const -> const std::string& { return name_; }
    [[nodiscard]] auto size() const { return servers_.size(); }
    [[nodiscard]] auto id_of(std::size_t index) const -> const std::string&
    {
        return servers_.at(index)->id;
    }
    [[nodiscard]] auto address_of(std::size_t index) const -> const endpoint&
    {
        return servers_.at(index)->at;
    }
    [[nodiscard]] auto is_primary(std::size_t index) const
    {
        return index == primary_;
    }
    [[nodiscard]] auto is_replica_known(const std::string& id) const -> bool
    {
        for (const auto& each : servers_) {
            if (each->id == id) {
                return true;
            }
        }
        return false;
    }

    /// The runs of the statements with this id.
    [[nodiscard]] auto runs_of(const std::string& id) -> std::vector<run_entry>
    {
        const auto lock = std::lock_guard(mutex_);
        const auto found = runs_.find(id);
        return found == runs_.end() ? std::vector<run_entry>() : found->second;
    }

private:
    struct server
    {
        endpoint at;
        std::string id;
    };
    struct session
    {
        std::size_t server = 0;
        std::uint64_t number = 0;
        char state = 'I';
        bool is_read_only = false;
        std::vector<std::string> writes;
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<bool, std::string>> prepared;
    };

    auto serve(connection link, std::size_t index) -> void
    {
        auto caller = session{};
        caller.server = index;
        caller.number = ++last_connection_;
        const auto longest_idle = milliseconds(60'000);
        const auto first = link.line(longest_idle);
        if (!first) {
            return;
        }
        auto rest = std::string_view(*first);
        const auto word = take_word(rest);
        const auto wanted = take_word(rest);
        static_cast<void>(take_word(rest));
        if (word != "STARTUP" || wanted != name_ ||
            (!rest.empty() && rest != servers_[index]->id))
        {
            link.send("ERROR WRONGNODE " + servers_[index]->id + "\r\n");
            return;
        }
        // Setting a connection up takes 12 ms.
        std::this_thread::sleep_for(milliseconds(12));
        link.send(ready(caller));
        while (const auto line = link.line(longest_idle)) {
            auto text = std::string_view(*line);
            if (take_word(text) != "QUERY") {
                return;
            }
            const auto id = take_word(text);
            const auto answer = run(caller, id, text);
            if (answer && !link.send(*answer)) {
                return;
            }
        }
    }

    /// Milliseconds by which a replica is behind.
    static constexpr auto lag = milliseconds(8);

    /// Commits that the server's log holds.
    auto held(std::size_t index) -> std::size_t
    {
        if (index == primary_) {
            return log_.size();
        }
        auto count = log_.size();
        const auto now = clock::now();
        while (count > 0 && now - log_[count - 1].second < lag) {
            --count;
        }
        return count;
    }

    auto ready(const session& caller) -> std::string
    {
        const auto lock = std::lock_guard(mutex_);
        return std::string("READY ") + caller.state + " 1." +
               std::to_string(held(caller.server) + 100) + "\r\n";
    }

    /// The answer; none if it is lost.
    auto run(session& caller, const std::string& id, std::string_view text)
        -> std::optional<std::string>
    {
        const auto whole = std::string(text);
        auto word = take_word(text);
        if (word == "WAITLSN") {
            const auto position = take_word(text);
            const auto number = std::strtoull(
                position.substr(position.find('.') + 1).c_str(), nullptr, 10);
            word = take_word(text);
            const auto lock = std::lock_guard(mutex_);
            if (held(caller.server) + 100 < number) {
                return "ERROR LAGGING behind\r\nREADY I 1." +
                       std::to_string(held(caller.server) + 100) + "\r\n";
            }
        }
        const auto& server = *servers_[caller.server];
        const auto end =
            fate ? fate(caller.server, id, word) : answer_fate::given;
        if (end == answer_fate::failed) {
            record_.add("server " + server.id + " conn " +
                        std::to_string(caller.number) + " failed " + id + ' ' +
                        whole);
            if (caller.state == 'T') {
                caller.state = 'E';
            }
            return "ERROR FAILED " + server.id + "\r\n" + ready(caller);
        }
        auto answer = carry_out(caller, id, word, text);
        answer += ready(caller);
        if (end == answer_fate::lost) {
            record_.add("server " + server.id + " conn " +
                        std::to_string(caller.number) + " ran " + id + ' ' +
                        whole + "; its answer is lost");
            return std::nullopt;
        }
        return answer;
    }

    auto carry_out(session& caller, const std::string& id,
                   const std::string& word, std::string_view text)
        -> std::string
    {
        const auto& server = *servers_[caller.server];
        const auto is_primary = caller.server == primary_;
        if (word == "STATUS") {
            const auto lock = std::lock_guard(mutex_);
            return std::string("DATAROW ") +
                   (is_primary ? "primary" : "replica") + " 1 1." +
                   std::to_string(held(caller.server) + 100) +
                   " 0 8 0 1\r\nCOMPLETE -\r\n";
        }
        if (word == "ROLLBACK") {
            caller.state = 'I';
            caller.writes.clear();
            return "COMPLETE -\r\n";
        }
        if (word == "DISCARD") {
            caller.values.clear();
            caller.prepared.clear();
            return "COMPLETE -\r\n";
        }
        if (caller.state == 'E') {
            return "ERROR MALFORMED the transaction failed\r\n";
        }
        if (word == "BEGIN") {
            if (text != "READ" && !is_primary) {
                return "ERROR READONLY " + server.id + "\r\n";
            }
            caller.state = 'T';
            caller.is_read_only = text == "READ";
            return "COMPLETE -\r\n";
        }
        if (word == "SET") {
            const auto name = take_word(text);
            caller.values[name] = text;
            return "COMPLETE -\r\n";
        }
        if (word == "PREPARE") {
            const auto name = take_word(text);
            const auto kind = take_word(text);
            caller.prepared[name] = {kind == "READ", std::string(text)};
            return "COMPLETE -\r\n";
        }
        if (word == "CLOSE") {
            caller.prepared.erase(std::string(text));
            return "COMPLETE -\r\n";
        }
        if (word == "EXECUTE") {
            const auto name = take_word(text);
            const auto found = caller.prepared.find(name);
            if (found == caller.prepared.end()) {
                return "ERROR UNKNOWN " + name + "\r\n";
            }
            return run_data(caller, id, found->second.first ? "READ" : "WRITE",
                            found->second.second + ' ' + std::string(text));
        }
        if (word == "READ" || word == "WRITE" || word == "COMMIT") {
            return run_data(caller, id, word, std::string(text));
        }
        return "ERROR MALFORMED " + word + "\r\n";
    }

    auto run_data(session& caller, const std::string& id,
                  const std::string& word, const std::string& text)
        -> std::string
    {
        const auto& server = *servers_[caller.server];
        if (word == "WRITE" && caller.server != primary_) {
            return "ERROR READONLY " + server.id + "\r\n";
        }
        std::this_thread::sleep_for(milliseconds(3));
        auto entry = run_entry{};
        entry.server = server.id;
        entry.connection = caller.number;
        entry.values = caller.values;
        entry.text = (word + (text.empty() ? "" : " ") + text)
                         .substr(0, longest_recorded);
        entry.is_in_transaction = caller.state == 'T';
        auto answer = std::string();
        {
            const auto lock = std::lock_guard(mutex_);
            const auto number = ++last_proof_;
            entry.proof =
                "7." + std::to_string(number) + '.' + std::to_string(random_());
            if (word == "READ") {
                entry.rows = "row" + std::to_string(random_() % 1'000'000);
                answer = "DATAROW " + entry.rows + "\r\n";
            } else if (word == "WRITE" && caller.state == 'T') {
                caller.writes.push_back(text);
            } else if (word == "WRITE") {
                log_.emplace_back(text, clock::now());
            } else {
                for (const auto& each : caller.writes) {
                    log_.emplace_back(each, clock::now());
                }
                caller.writes.clear();
                caller.state = 'I';
            }
            runs_[id].push_back(entry);
        }
        auto values = std::string();
        for (const auto& [name, value] : entry.values) {
            values += ' ' + name + '=' + value;
        }
        record_.add("server " + server.id + " conn " +
                    std::to_string(caller.number) + " ran " + id + ' ' +
                    entry.text + " values" + (values.empty() ? " -" : values) +
                    " proof " + entry.proof);
        return answer + "COMPLETE " + entry.proof + "\r\n";
    }

    /// Longer texts are cut in the record.
    static constexpr auto longest_recorded = std::size_t{80};

    record_file& record_;
    std::string name_;
    std::vector<std::unique_ptr<server>> servers_;
    std::size_t primary_ = 0;
    std::mutex mutex_;
    std::mt19937_64 random_{20261207};
    std::vector<std::pair<std::string, clock::time_point>> log_;
    std::map<std::string, std::vector<run_entry>> runs_;
    std::atomic<std::uint64_t> last_connection_ = 0;
    std::uint64_t last_proof_ = 0;
};

} // namespace review

#endif
