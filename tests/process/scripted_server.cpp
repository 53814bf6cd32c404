#include "process/scripted_server.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace clementinegap {

scripted_server::scripted_server(script serve)
    : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), serve_(std::move(serve))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    socklen_t length = sizeof address;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    BOOST_REQUIRE(::listen(listener_, 8) == 0);
    thread_ = std::thread([this] { accept(); });
}

scripted_server::~scripted_server()
{
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
}

void scripted_server::accept()
{
    for (int accepted = ::accept(listener_, nullptr, nullptr); accepted >= 0;
         accepted = ::accept(listener_, nullptr, nullptr)) {
        connections_.emplace_back([this, accepted] {
            raw_connection connection(accepted);
            serve_(connection);
        });
    }
}

} // namespace clementinegap
