#include "process/raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace clementinegap {
namespace {

constexpr int safety_net_ms = 20000;
constexpr std::size_t block_bytes = 65536;

} // namespace

raw_connection::raw_connection(std::uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(std::exchange(socket_, -1));
    }
}

raw_connection::raw_connection(raw_connection&& other) noexcept : socket_(std::exchange(other.socket_, -1)) {}

raw_connection::~raw_connection()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
}

bool raw_connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::string raw_connection::read(std::size_t max)
{
    pollfd state{socket_, POLLIN, 0};
    if (::poll(&state, 1, safety_net_ms) <= 0) {
        return {};
    }
    std::string bytes(max, '\0');
    const auto count = ::recv(socket_, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
}

std::string raw_connection::read_until(std::string_view mark)
{
    std::string text;
    while (text.find(mark) == std::string::npos) {
        const auto more = read(block_bytes);
        if (more.empty()) {
            break;
        }
        text += more;
    }
    return text;
}

std::string raw_connection::read_to_end()
{
    std::string text;
    for (auto more = read(block_bytes); !more.empty(); more = read(block_bytes)) {
        text += more;
    }
    return text;
}

void raw_connection::reset()
{
    const linger no_wait{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
    ::close(std::exchange(socket_, -1));
}

std::string request_text(std::string_view method, std::string_view path, std::string_view body,
                         std::string_view extra)
{
    std::string text;
    text.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: test\r\n").append(extra);
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return text;
}

} // namespace clementinegap
