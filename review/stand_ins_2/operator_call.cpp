// One call of the operator over HTTP/1.1, as the users' pages describe it.
//
//   operator_call METHOD ADDRESS:PORT PATH [FILE]
//
// Sends the request, follows a 307 twice, and prints the status, the address
// that answered and the body. A call without a response within a second, and
// a refused connection, print the status 0.
//
//   operator_call ports FIRST COUNT ADDRESS...
//
// Prints the first of COUNT ports in a row, from FIRST on, that are free at
// every address.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace {

using steady = std::chrono::steady_clock;
constexpr auto patience = std::chrono::milliseconds(1000);

auto address_of(const std::string& host, int port) -> sockaddr_in
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

auto wait_for(int descriptor, short events, steady::time_point until) -> bool
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - steady::now());
    auto waiting = pollfd{descriptor, events, 0};
    return left.count() > 0 &&
           ::poll(&waiting, 1, static_cast<int>(left.count())) > 0;
}

/// The whole response, empty if none came in time.
auto exchange(const std::string& endpoint, const std::string& request)
    -> std::string
{
    const auto colon = endpoint.rfind(':');
    const auto address = address_of(endpoint.substr(0, colon),
                                    std::atoi(endpoint.c_str() + colon + 1));
    const auto until = steady::now() + patience;
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    auto response = std::string();
    const auto is_started =
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0 ||
        errno == EINPROGRESS;
    if (is_started && wait_for(descriptor, POLLOUT, until) &&
        ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(request.size()))
    {
        char bytes[65536];
        while (wait_for(descriptor, POLLIN, until)) {
            const auto size = ::recv(descriptor, bytes, sizeof bytes, 0);
            if (size <= 0) {
                break;
            }
            response.append(bytes, static_cast<std::size_t>(size));
        }
    }
    ::close(descriptor);
    return response;
}

auto location_of(const std::string& response) -> std::string
{
    for (const auto* const name : {"Location: http://", "location: http://"}) {
        const auto start = response.find(name);
        if (start != std::string::npos) {
            const auto from = start + std::string(name).size();
            return response.substr(from, response.find('/', from) - from);
        }
    }
    return {};
}

auto call(const std::vector<std::string>& words) -> int
{
    auto body = std::string();
    if (words.size() > 3) {
        auto file = std::ifstream(words[3], std::ios::binary);
        body.assign(std::istreambuf_iterator<char>(file), {});
    }
    auto endpoint = words[1];
    auto response = std::string();
    auto status = 0;
    for (auto redirects = 0; redirects < 3; ++redirects) {
        response = exchange(
            endpoint, words[0] + ' ' + words[2] +
                          " HTTP/1.1\r\nHost: " + endpoint +
                          "\r\nContent-Type: application/json\r\n"
                          "Connection: close\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
        status = response.size() > 12 ? std::atoi(response.c_str() + 9) : 0;
        const auto next = status == 307 ? location_of(response) : "";
        if (next.empty()) {
            break;
        }
        endpoint = next;
    }
    const auto end = response.find("\r\n\r\n");
    std::printf("%d %s %s\n", status, endpoint.c_str(),
                end == std::string::npos ? ""
                                         : response.substr(end + 4).c_str());
    return 0;
}

auto is_free(const std::string& host, int port) -> bool
{
    const auto address = address_of(host, port);
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto is_bound =
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) == 0;
    ::close(descriptor);
    return is_bound;
}

auto find_ports(const std::vector<std::string>& words) -> int
{
    const auto count = std::atoi(words[2].c_str());
    for (auto first = std::atoi(words[1].c_str()); first < 60000;
         first += count) {
        auto are_free = true;
        for (auto port = first; port < first + count; ++port) {
            for (auto each = std::size_t{3}; each < words.size(); ++each) {
                are_free = are_free && is_free(words[each], port);
            }
        }
        if (are_free) {
            std::printf("%d\n", first);
            return 0;
        }
    }
    return 1;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    const auto words =
        std::vector<std::string>(arguments + 1, arguments + count);
    if (words.size() > 3 && words[0] == "ports") {
        return find_ports(words);
    }
    return words.size() < 3 ? 2 : call(words);
}
