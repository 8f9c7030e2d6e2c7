#ifndef RHUBARBRUN_REVIEW_WIRE_HPP
#define RHUBARBRUN_REVIEW_WIRE_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

// Blocking sockets, lines and a log of what was sent, answered and run. All
// addresses are loopback addresses.

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline auto since_start() -> std::int64_t
{
    static const auto start = clock::now();
    return std::chrono::duration_cast<milliseconds>(clock::now() - start)
        .count();
}

/// The file `record.txt`; each line begins with milliseconds since the start.
class record_file
{
public:
    explicit record_file(const std::string& path) : out_(path, std::ios::trunc)
    {
        static_cast<void>(since_start());
    }
    auto add(const std::string& line) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        out_ << since_start() << ' ' << line << '\n';
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    [[nodiscard]] auto text() const -> std::string
    {
        return address + ':' + std::to_string(port);
    }
};

inline auto to_sockaddr(const endpoint& at) -> sockaddr_in
{
    auto where = sockaddr_in{};
    where.sin_family = AF_INET;
    where.sin_port = htons(at.port);
    inet_pton(AF_INET, at.address.c_str(), &where.sin_addr);
    return where;
}

/// A socket that closes itself.
class connection
{
public:
    connection() = default;
    explicit connection(int descriptor) : descriptor_(descriptor)
    {
        const auto on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(connection&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)),
          buffer_(std::move(other.buffer_))
    {
    }
    auto operator=(connection&& other) noexcept -> connection&
    {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        buffer_ = std::move(other.buffer_);
        return *this;
    }
    ~connection() { close(); }

    static auto open(const endpoint& to) -> connection
    {
        const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto where = to_sockaddr(to);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&where),
                    sizeof where) != 0)
        {
            ::close(descriptor);
            return {};
        }
        return connection(descriptor);
    }

    [[nodiscard]] auto is_open() const -> bool { return descriptor_ >= 0; }

    auto close() -> void
    {
        if (descriptor_ >= 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }

    auto send(std::string_view bytes) -> bool
    {
        while (!bytes.empty() && is_open()) {
            const auto size =
                ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(size));
        }
        return is_open();
    }

    /// Reads more bytes; false at the end of the connection or of the time.
    auto fill(milliseconds patience) -> bool
    {
        auto ready = pollfd{descriptor_, POLLIN, 0};
        is_late_ = poll(&ready, 1, static_cast<int>(patience.count())) == 0;
        if (is_late_) {
            return false;
        }
        char input[4096];
        const auto size = ::recv(descriptor_, input, sizeof input, 0);
        if (size <= 0) {
            return false;
        }
        buffer_.append(input, static_cast<std::size_t>(size));
        return true;
    }

    /// The next line without its end; none at the end of the connection or if
    /// it does not come in time.
    auto line(milliseconds patience) -> std::optional<std::string>
    {
        const auto until = clock::now() + patience;
        for (;;) {
            const auto end = buffer_.find("\r\n");
            if (end != std::string::npos) {
                auto result = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return result;
            }
            const auto left =
                std::chrono::duration_cast<milliseconds>(until - clock::now());
            if (left.count() <= 0) {
                is_late_ = true;
                return std::nullopt;
            }
            if (!fill(left)) {
                return std::nullopt;
            }
        }
    }

    /// Whether the last read ended because of its time.
    [[nodiscard]] auto is_late() const -> bool { return is_late_; }
    [[nodiscard]] auto buffer() -> std::string& { return buffer_; }

private:
    int descriptor_ = -1;
    std::string buffer_;
    bool is_late_ = false;
};

inline auto listen_at(const endpoint& at) -> int
{
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = to_sockaddr(at);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&where),
             sizeof where) != 0 ||
        listen(descriptor, 128) != 0)
    {
        std::perror("listen");
        std::exit(2);
    }
    return descriptor;
}

inline auto take_word(std::string_view& text) -> std::string
{
    const auto end = std::min(text.find(' '), text.size());
    auto word = std::string(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

struct http_answer
{
    int status = 0;
    std::string location;
    std::string body;
};

inline auto header_of(const std::string& head, const std::string& name)
    -> std::string
{
    auto lower = head;
    for (auto& letter : lower) {
        letter = static_cast<char>(std::tolower(letter));
    }
    const auto at = lower.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto first = at + name.size() + 4;
    return head.substr(first, head.find("\r\n", first) - first);
}

/// One HTTP request on a connection of its own; status 0 without an answer.
inline auto http(const endpoint& to, const std::string& method,
                 const std::string& path, const std::string& body,
                 milliseconds patience = milliseconds(1000)) -> http_answer
{
    auto link = connection::open(to);
    auto result = http_answer{};
    if (!link.is_open() ||
        !link.send(method + ' ' + path + " HTTP/1.1\r\nHost: " + to.text() +
                   "\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body))
    {
        return result;
    }
    auto& input = link.buffer();
    const auto until = clock::now() + patience;
    const auto more = [&] {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - clock::now());
        return left.count() > 0 && link.fill(left);
    };
    while (input.find("\r\n\r\n") == std::string::npos) {
        if (!more()) {
            return result;
        }
    }
    const auto head = input.substr(0, input.find("\r\n\r\n") + 2);
    const auto size =
        std::strtoul(header_of(head, "content-length").c_str(), nullptr, 10);
    while (input.size() < head.size() + 2 + size) {
        if (!more()) {
            return result;
        }
    }
    result.status = std::atoi(head.c_str() + 9);
    result.location = header_of(head, "location");
    result.body = input.substr(head.size() + 2, size);
    return result;
}

} // namespace review

#endif
