#include <rhubarbrun/transport/line_writer.hpp>

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

namespace rhubarbrun::test {

namespace {

class pipe_pair
{
public:
    pipe_pair() { REQUIRE(pipe(ends_.data()) == 0); }
    pipe_pair(const pipe_pair&) = delete;
    auto operator=(const pipe_pair&) -> pipe_pair& = delete;
    ~pipe_pair()
    {
        close_reader();
        close(ends_[1]);
    }

    auto close_reader() -> void
    {
        if (ends_[0] >= 0) {
            close(ends_[0]);
            ends_[0] = -1;
        }
    }
    auto read_some() -> std::string
    {
        auto bytes = std::string(65536, '\0');
        const auto size = read(ends_[0], bytes.data(), bytes.size());
        bytes.resize(static_cast<std::size_t>(size));
        return bytes;
    }
    [[nodiscard]] auto writer() const -> int { return ends_[1]; }

private:
    std::array<int, 2> ends_{-1, -1};
};

} // namespace

TEST_CASE("line writer: a full pipe delays nobody, and the lines it missed are "
          "told")
{
    auto ends = pipe_pair();
    auto log = line_writer(ends.writer());
    const auto line = std::string(1000, 'x');
    while (log.write(line)) {
    }
    CHECK_FALSE(log.write(line));
    CHECK(log.dropped() == 2);
    CHECK(ends.read_some().starts_with(line + '\n'));
    CHECK(log.write("event=later"));
    CHECK(ends.read_some() == "event=log_lines_dropped lines=2\nevent=later\n");
    CHECK(log.dropped() == 2);
}

TEST_CASE("line writer: a closed pipe stops nothing")
{
    std::signal(SIGPIPE, SIG_IGN);
    auto ends = pipe_pair();
    auto log = line_writer(ends.writer());
    ends.close_reader();
    CHECK_FALSE(log.write("event=unread"));
    CHECK(log.dropped() == 1);
}

TEST_CASE("line writer: a long line is cut off and stays one line")
{
    auto ends = pipe_pair();
    auto log = line_writer(ends.writer());
    CHECK(log.write(std::string(10000, 'x')));
    CHECK(ends.read_some() == std::string(4095, 'x') + '\n');
}

} // namespace rhubarbrun::test
