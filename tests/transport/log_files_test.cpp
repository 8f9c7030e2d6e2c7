#include <rhubarbrun/transport/log_files.hpp>

#include "volatile_disk.hpp"

#include <doctest/doctest.h>

#include <cerrno>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <system_error>

using namespace rhubarbrun;

namespace {

namespace fs = std::filesystem;

/// Stands for the end of the process at a file operation.
struct simulated_crash
{
};

/// A directory that is removed at the end of the test.
class test_directory
{
public:
    test_directory()
    {
        auto name = (fs::temp_directory_path() / "rhubarbrunXXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        path_ = name;
    }
    test_directory(const test_directory&) = delete;
    auto operator=(const test_directory&) -> test_directory& = delete;
    ~test_directory() { fs::remove_all(path_); }

    auto path() const -> fs::path { return path_ / "data"; }

private:
    fs::path path_;
};

/// What a file operation does when its turn has come.
enum class disturbance : std::uint8_t
{
    crash,
    no_space,
    input_output_error,
};

/// Files without the cost of syncing, which only a power failure would show.
auto unsynced_hooks() -> file_hooks
{
    auto hooks = system_file_hooks();
    hooks.sync = [](int) {
    };
    hooks.sync_directory = [](const fs::path&) {
    };
    return hooks;
}

/// File hooks that fail at the operation number `at`, counted from 1, and lose
/// unsynced bytes at a crash.
class faulty_files
{
public:
    explicit faulty_files(std::size_t at = 0,
                          disturbance what = disturbance::crash)
        : at_(at), what_(what)
    {
    }

    auto hooks() -> file_hooks
    {
        const auto system = unsynced_hooks();
        auto result = system;
        result.open = [this, system](const fs::path& path) {
            const auto descriptor = system.open(path);
            paths_[descriptor] = path;
            synced_.try_emplace(path, fs::file_size(path));
            return descriptor;
        };
        result.write = [this, system](int file, std::string_view bytes) {
            if (is_due()) {
                system.write(file, bytes.substr(0, bytes.size() / 2));
                disturb();
            }
            system.write(file, bytes);
        };
        result.sync = [this, system](int file) {
            if (is_due()) {
                failed_sync_ = file;
                disturb();
            }
            touched_after_failure_ |= file == failed_sync_;
            system.sync(file);
            synced_[paths_[file]] = fs::file_size(paths_[file]);
        };
        result.close = [this, system](int file) {
            failed_sync_ = file == failed_sync_ ? -1 : failed_sync_;
            system.close(file);
        };
        result.rename = [this, system](const fs::path& from,
                                       const fs::path& to) {
            disturb_if_due();
            system.rename(from, to);
            synced_[to] = synced_[from];
            synced_.erase(from);
        };
        result.remove = [this, system](const fs::path& path) {
            disturb_if_due();
            system.remove(path);
            synced_.erase(path);
        };
        result.sync_directory = [this, system](const fs::path& path) {
            disturb_if_due();
            system.sync_directory(path);
        };
        return result;
    }

    /// Cuts every file to what was synced.
    auto lose_unsynced() const -> void
    {
        for (const auto& [path, size] : synced_) {
            if (fs::exists(path) && fs::file_size(path) > size) {
                fs::resize_file(path, size);
            }
        }
    }

    auto operations() const -> std::size_t { return count_; }
    auto is_touched_after_failure() const -> bool
    {
        return touched_after_failure_;
    }

private:
    auto is_due() -> bool { return ++count_ == at_; }
    auto disturb_if_due() -> void
    {
        if (is_due()) {
            disturb();
        }
    }
    [[noreturn]] auto disturb() const -> void
    {
        if (what_ == disturbance::crash) {
            throw simulated_crash{};
        }
        throw std::system_error(what_ == disturbance::no_space ? ENOSPC : EIO,
                                std::generic_category(), "planted");
    }

    std::size_t at_;
    disturbance what_;
    std::size_t count_ = 0;
    int failed_sync_ = -1;
    bool touched_after_failure_ = false;
    std::map<int, fs::path> paths_;
    std::map<fs::path, std::uintmax_t> synced_;
};

/// File hooks of a disk that is full from the operation number `at` on, counted
/// from 1, until there is room. What needs no room goes on.
class full_disk
{
public:
    explicit full_disk(std::size_t at) : at_(at) {}

    auto hooks() -> file_hooks
    {
        const auto system = unsynced_hooks();
        auto result = system;
        result.open = [this, system](const fs::path& path) {
            if (!fs::exists(path)) {
                refuse_if_full();
            }
            return system.open(path);
        };
        result.write = [this, system](int file, std::string_view bytes) {
            if (is_full()) {
                // A part may still fit.
                system.write(file, bytes.substr(0, bytes.size() / 2));
                refuse();
            }
            system.write(file, bytes);
        };
        result.rename = [this, system](const fs::path& from,
                                       const fs::path& to) {
            refuse_if_full();
            system.rename(from, to);
        };
        return result;
    }

    auto make_room() -> void { has_room_ = true; }

private:
    auto is_full() -> bool { return ++count_ >= at_ && !has_room_; }
    auto refuse_if_full() -> void
    {
        if (is_full()) {
            refuse();
        }
    }
    [[noreturn]] static auto refuse() -> void
    {
        throw std::system_error(ENOSPC, std::generic_category(), "planted");
    }

    std::size_t at_;
    std::size_t count_ = 0;
    bool has_room_ = false;
};

auto open_log(const fs::path& path, file_hooks hooks = unsynced_hooks())
    -> log_files
{
    auto options = log_files_options{};
    options.directory = path;
    options.member = member_id("a");
    options.segment_bytes = 600;
    return {options, [] { return std::uint64_t{7}; }, std::move(hooks)};
}

auto make_entry(std::uint64_t index, std::uint64_t elected) -> log_entry
{
    return {log_index(index), election_term(elected), entry_kind::command,
            "command " + std::to_string(index), std::nullopt};
}

auto make_snapshot(std::uint64_t index, std::uint64_t elected)
    -> shared_snapshot
{
    auto result = log_snapshot{};
    result.metadata.index = log_index(index);
    result.metadata.elected = election_term(elected);
    result.data = "state at " + std::to_string(index);
    return std::make_shared<const log_snapshot>(std::move(result));
}

/// Batches as a member hands them out: appends, replaced entries, changes of
/// term, snapshots of its own and one from a leader.
auto make_history() -> std::vector<consensus_ready>
{
    auto history = std::vector<consensus_ready>{};
    auto elected = std::uint64_t{1};
    auto last = std::uint64_t{0};
    auto terms = std::map<std::uint64_t, std::uint64_t>{};
    for (auto step = 1; step <= 40; ++step) {
        auto ready = consensus_ready{};
        if (step % 9 == 0) {
            elected += 1;
            last -= 1;
            ready.state = hard_state{};
            ready.state->current = election_term(elected);
        }
        if (step == 30) {
            last += 50;
            ready.is_restore = true;
            ready.snapshot = make_snapshot(last, elected);
            terms[last] = elected;
        } else if (step % 12 == 0) {
            ready.snapshot = make_snapshot(last - 1, terms[last - 1]);
        }
        for (auto count = 0; count < step % 4; ++count) {
            ready.entries.push_back(make_entry(++last, elected));
            terms[last] = elected;
        }
        history.push_back(std::move(ready));
    }
    return history;
}

/// What a correct log holds after a batch.
auto apply_batch(stored_log& log, const consensus_ready& ready) -> void
{
    if (ready.snapshot) {
        log.snapshot = ready.snapshot;
        std::erase_if(log.entries, [&](const auto& entry) {
            return ready.is_restore ||
                   entry.index <= ready.snapshot->metadata.index;
        });
    }
    log.state = ready.state.value_or(log.state);
    for (const auto& entry : ready.entries) {
        std::erase_if(log.entries, [&](const auto& other) {
            return other.index >= entry.index;
        });
        log.entries.push_back(entry);
    }
}

auto is_equal(const stored_log& left, const stored_log& right) -> bool
{
    const auto is_same_snapshot =
        left.snapshot == right.snapshot ||
        (left.snapshot && right.snapshot && *left.snapshot == *right.snapshot);
    return left.state == right.state && is_same_snapshot &&
           left.entries == right.entries;
}

/// Whether `found` may be what is left of a batch that was interrupted: the
/// snapshot is replaced first, then state and entries.
auto is_between(const stored_log& found, const stored_log& before,
                const stored_log& after, const consensus_ready& ready) -> bool
{
    auto only_snapshot = before;
    auto snapshot = consensus_ready{};
    snapshot.snapshot = ready.snapshot;
    snapshot.is_restore = ready.is_restore;
    apply_batch(only_snapshot, snapshot);
    return is_equal(found, before) || is_equal(found, after) ||
           is_equal(found, only_snapshot);
}

auto last_segment(const fs::path& path) -> fs::path
{
    auto result = fs::path{};
    for (const auto& file : fs::directory_iterator(path)) {
        if (file.path().filename().string().rfind("segment", 0) == 0) {
            result = std::max(result, file.path());
        }
    }
    return result;
}

auto flip_byte(const fs::path& path, std::uintmax_t offset) -> void
{
    auto file =
        std::fstream(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const auto byte = static_cast<char>(file.get() ^ 0x55);
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(byte);
}

/// Writes the whole history to a new directory.
auto write_history(const fs::path& path) -> stored_log
{
    auto expected = stored_log{};
    auto log = open_log(path);
    for (const auto& ready : make_history()) {
        log.save(ready);
        apply_batch(expected, ready);
    }
    return expected;
}

} // namespace

TEST_CASE("a log reads back what was saved and keeps its incarnation")
{
    const auto directory = test_directory{};
    const auto expected = write_history(directory.path());
    auto log = open_log(directory.path());
    CHECK(is_equal(log.take_stored(), expected));
    CHECK(log.identity() == member_identity{member_id("a"), incarnation(7)});
    CHECK(log.torn_bytes() == 0);
    // Segments below the last snapshot are gone.
    auto files = 0;
    for ([[maybe_unused]] const auto& file :
         fs::directory_iterator(directory.path()))
    {
        ++files;
    }
    CHECK(files < 8);
}

TEST_CASE("a crash at any file operation loses nothing that was persisted")
{
    const auto history = make_history();
    auto is_reached = true;
    auto points = std::size_t{0};
    for (auto at = std::size_t{1}; is_reached; ++at) {
        const auto directory = test_directory{};
        auto files = faulty_files(at);
        auto expected = stored_log{};
        auto before = stored_log{};
        auto interrupted = consensus_ready{};
        is_reached = false;
        try {
            auto log = open_log(directory.path(), files.hooks());
            for (const auto& ready : history) {
                before = expected;
                apply_batch(expected, ready);
                interrupted = ready;
                log.save(ready);
            }
        } catch (const simulated_crash&) {
            is_reached = true;
            ++points;
        }
        // Unsynced bytes are kept on every other run.
        if (at % 2 == 0) {
            files.lose_unsynced();
        }
        auto log = open_log(directory.path());
        const auto found = log.take_stored();
        if (is_reached) {
            CHECK_MESSAGE(is_between(found, before, expected, interrupted),
                          "operation ", at);
        } else {
            CHECK(is_equal(found, expected));
        }
        // The log goes on after the crash.
        auto next = consensus_ready{};
        const auto last = found.entries.empty()
                              ? (found.snapshot ? found.snapshot->metadata.index
                                                : log_index(0))
                              : found.entries.back().index;
        next.entries = {make_entry(last.value() + 1, 99)};
        log.save(next);
    }
    CHECK(points > 80);
}

TEST_CASE("a failed operation takes the log out for good")
{
    const auto history = make_history();
    for (auto at = std::size_t{20}; at < 100; ++at) {
        const auto directory = test_directory{};
        auto files = faulty_files(at, disturbance::input_output_error);
        auto log = open_log(directory.path(), files.hooks());
        auto failed = std::size_t{0};
        for (const auto& ready : history) {
            try {
                log.save(ready);
                CHECK(failed == 0);
            } catch (const log_storage_error&) {
                ++failed;
            }
        }
        CHECK(failed > 1);
        CHECK_FALSE(files.is_touched_after_failure());
    }
}

TEST_CASE("a sync that fails for lack of room takes the log out for good")
{
    const auto history = make_history();
    for (auto at = 5; at < 40; ++at) {
        const auto directory = test_directory{};
        auto files = faulty_files{};
        auto hooks = files.hooks();
        auto syncs = 0;
        hooks.sync = [&, sync = hooks.sync](int file) {
            if (++syncs == at) {
                throw std::system_error(ENOSPC, std::generic_category(),
                                        "planted");
            }
            sync(file);
        };
        auto log = open_log(directory.path(), hooks);
        auto failed = std::size_t{0};
        for (const auto& ready : history) {
            try {
                log.save(ready);
                CHECK(failed == 0);
            } catch (const log_storage_error&) {
                ++failed;
            }
        }
        CHECK(failed > 1);
    }
}

TEST_CASE("full disk: a refused batch can be saved again, at any operation")
{
    const auto history = make_history();
    auto is_reached = true;
    auto points = std::size_t{0};
    for (auto at = std::size_t{1}; is_reached; ++at) {
        for (const auto is_restarted : {false, true}) {
            const auto directory = test_directory{};
            auto disk = full_disk(at);
            auto expected = stored_log{};
            is_reached = false;
            auto log = std::optional<log_files>();
            try {
                log.emplace(open_log(directory.path(), disk.hooks()));
            } catch (const log_full_error&) {
                is_reached = true;
                disk.make_room();
                log.emplace(open_log(directory.path(), disk.hooks()));
            }
            for (const auto& ready : history) {
                try {
                    log->save(ready);
                } catch (const log_full_error&) {
                    is_reached = true;
                    // The disk stays full for several attempts.
                    CHECK_THROWS_AS(log->save(ready), log_full_error);
                    if (is_restarted) {
                        const auto before = expected;
                        auto after = expected;
                        apply_batch(after, ready);
                        disk.make_room();
                        log.reset();
                        log.emplace(open_log(directory.path(), disk.hooks()));
                        CHECK_MESSAGE(is_between(log->take_stored(), before,
                                                 after, ready),
                                      "operation ", at);
                    } else {
                        CHECK_THROWS_AS(log->save(ready), log_full_error);
                        disk.make_room();
                    }
                    log->save(ready);
                }
                apply_batch(expected, ready);
            }
            log.reset();
            auto read = open_log(directory.path());
            CHECK_MESSAGE(is_equal(read.take_stored(), expected), "operation ",
                          at);
            points += is_reached ? 1 : 0;
        }
    }
    CHECK(points > 100);
}

TEST_CASE("full disk: a process that starts needs no room for a whole log")
{
    const auto history = make_history();
    // The operations before belong to the first start.
    for (auto at = std::size_t{10}; at < 60; ++at) {
        const auto directory = test_directory{};
        auto disk = full_disk(at);
        auto expected = stored_log{};
        auto interrupted = consensus_ready{};
        {
            auto log = open_log(directory.path(), disk.hooks());
            for (const auto& ready : history) {
                try {
                    log.save(ready);
                } catch (const log_full_error&) {
                    interrupted = ready;
                    break;
                }
                apply_batch(expected, ready);
            }
        }
        if (interrupted.is_restore) {
            // It has to record that the snapshot replaces the entries.
            continue;
        }
        auto after = expected;
        apply_batch(after, interrupted);
        auto log = open_log(directory.path(), disk.hooks());
        CHECK_MESSAGE(
            is_between(log.take_stored(), expected, after, interrupted),
            "operation ", at);
    }
}

TEST_CASE("the check of a full disk finds a tail that is not cut back")
{
    const auto directory = test_directory{};
    auto disk = full_disk(12);
    auto hooks = disk.hooks();
    hooks.truncate = [](int, std::uint64_t) {
    };
    auto is_found = false;
    try {
        auto log = open_log(directory.path(), hooks);
        for (const auto& ready : make_history()) {
            try {
                log.save(ready);
            } catch (const log_full_error&) {
                disk.make_room();
                log.save(ready);
            }
        }
        static_cast<void>(open_log(directory.path()));
    } catch (const std::runtime_error&) {
        is_found = true;
    }
    CHECK(is_found);
}

TEST_CASE("the crash check finds a log that counts before it is synced")
{
    const auto directory = test_directory{};
    auto files = faulty_files{};
    auto hooks = files.hooks();
    auto is_planted = false;
    hooks.sync = [&, sync = hooks.sync](int file) {
        if (!is_planted) {
            sync(file);
        }
    };
    auto expected = stored_log{};
    {
        auto log = open_log(directory.path(), hooks);
        is_planted = true;
        auto ready = consensus_ready{};
        ready.entries = {make_entry(1, 1)};
        log.save(ready);
        apply_batch(expected, ready);
    }
    files.lose_unsynced();
    CHECK_FALSE(is_equal(open_log(directory.path()).take_stored(), expected));
}

TEST_CASE("a torn tail of the last segment is cut at any length")
{
    const auto directory = test_directory{};
    auto expected = write_history(directory.path());
    const auto save_next = [&] {
        auto log = open_log(directory.path());
        auto ready = consensus_ready{};
        ready.entries = {
            make_entry(expected.entries.back().index.value() + 1, 50)};
        log.save(ready);
        return ready;
    };
    apply_batch(expected, save_next());
    const auto segment = last_segment(directory.path());
    const auto size = fs::file_size(segment);
    save_next();
    REQUIRE(last_segment(directory.path()) == segment);
    auto bytes = std::string(fs::file_size(segment), '\0');
    std::ifstream(segment, std::ios::binary)
        .read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    for (auto cut = size + 1; cut < bytes.size(); ++cut) {
        for (const auto is_zero_filled : {false, true}) {
            std::ofstream(segment, std::ios::binary) << bytes.substr(0, cut);
            if (is_zero_filled) {
                fs::resize_file(segment, bytes.size());
            }
            auto log = open_log(directory.path());
            CHECK(log.torn_bytes() ==
                  (is_zero_filled ? bytes.size() : cut) - size);
            CHECK(is_equal(log.take_stored(), expected));
            CHECK(fs::file_size(segment) == size);
        }
    }
}

TEST_CASE("damage elsewhere refuses to start and names file, offset, remedy")
{
    const auto directory = test_directory{};
    write_history(directory.path());
    auto refused = 0;
    for (const auto& file : fs::directory_iterator(directory.path())) {
        if (file.path().filename() == "lock") {
            continue;
        }
        const auto size = fs::file_size(file.path());
        const auto is_last = file.path() == last_segment(directory.path());
        // The last record of the last segment cannot be told from a torn one.
        const auto checked = is_last ? size / 2 : size;
        for (auto offset = std::uintmax_t{0}; offset < checked; ++offset) {
            flip_byte(file.path(), offset);
            try {
                open_log(directory.path());
                FAIL_CHECK(file.path().string(), " offset ", offset);
            } catch (const log_corrupt_error& error) {
                ++refused;
                CHECK(error.file() == file.path());
                CHECK(error.offset() <= offset);
                CHECK(std::string(error.what()).find("remedy") !=
                      std::string::npos);
            }
            flip_byte(file.path(), offset);
        }
    }
    CHECK(refused > 300);
    CHECK_NOTHROW(open_log(directory.path()));
}

TEST_CASE("a missing file refuses to start instead of starting afresh")
{
    const auto source = test_directory{};
    write_history(source.path());
    auto removed = 0;
    for (const auto& file : fs::directory_iterator(source.path())) {
        const auto name = file.path().filename();
        if (name == "lock") {
            continue;
        }
        const auto copy = test_directory{};
        fs::copy(source.path(), copy.path());
        fs::remove(copy.path() / name);
        CHECK_THROWS_AS(open_log(copy.path()), log_corrupt_error);
        ++removed;
    }
    CHECK(removed >= 3);
}

TEST_CASE("a data directory serves one process and one member")
{
    const auto directory = test_directory{};
    {
        auto log = open_log(directory.path(), system_file_hooks());
        CHECK_THROWS_AS(open_log(directory.path()), log_locked_error);
    }
    auto options = log_files_options{};
    options.directory = directory.path();
    options.member = member_id("b");
    CHECK_THROWS_AS(log_files(options, [] { return std::uint64_t{8}; }),
                    log_corrupt_error);
}

TEST_CASE("a restart after 1,000 changes reads them all")
{
    const auto directory = test_directory{};
    {
        auto log = open_log(directory.path());
        for (auto index = std::uint64_t{1}; index <= 1000; ++index) {
            auto ready = consensus_ready{};
            ready.entries = {make_entry(index, 1)};
            log.save(ready);
        }
    }
    auto log = open_log(directory.path());
    CHECK(log.take_stored().entries.size() == 1000);
}

// Guards against a member that cannot start again: the last segment began with
// a record that followed void entries beyond the restored snapshot, and the
// segments with these entries were removed.
TEST_CASE("a snapshot restored below the last entry can be read again")
{
    for (auto kept = std::size_t{0}; kept < 4; ++kept) {
        const auto directory = test_directory{};
        auto hooks = unsynced_hooks();
        auto removed = std::size_t{0};
        // Some of the covered segments stay, as after a crash.
        hooks.remove = [&, remove = hooks.remove](const fs::path& path) {
            if (++removed > kept) {
                remove(path);
            }
        };
        {
            auto log = open_log(directory.path(), hooks);
            for (auto index = std::uint64_t{1}; index <= 40; ++index) {
                auto ready = consensus_ready{};
                ready.entries = {make_entry(index, 1)};
                log.save(ready);
            }
            auto ready = consensus_ready{};
            ready.snapshot = make_snapshot(20, 2);
            ready.is_restore = true;
            ready.entries = {make_entry(21, 2)};
            log.save(ready);
            CHECK(removed > 3);
        }
        auto log = open_log(directory.path());
        const auto stored = log.take_stored();
        REQUIRE(stored.snapshot);
        CHECK(stored.snapshot->metadata.index == log_index(20));
        CHECK(stored.entries == std::vector{make_entry(21, 2)});
    }
}

// Guards against a start that counts what a former process wrote and did not
// sync.
TEST_CASE("what a start has read survives a power failure after it")
{
    auto is_finished = false;
    for (auto point = std::size_t{0}; !is_finished; ++point) {
        const auto directory = test_directory{};
        auto disk = test::volatile_disk(directory.path());
        disk.crash_after(point);
        try {
            auto log = open_log(directory.path(), disk.hooks());
            for (const auto& ready : make_history()) {
                log.save(ready);
            }
            is_finished = true;
        } catch (const test::simulated_crash&) {
        }
        disk.stop_crashing();
        const auto read =
            open_log(directory.path(), disk.hooks()).take_stored();
        disk.lose_power();
        const auto left =
            open_log(directory.path(), disk.hooks()).take_stored();
        CHECK(is_equal(read, left));
    }
}
