#include "net/udp_socket.h"

namespace clementinegap {

struct udp_socket::handle_block {
    uv_udp_t handle{};
    event_loop* loop{nullptr};
    std::function<void(std::string_view)> on_datagram;
    bool open{true};
};

udp_socket::udp_socket(event_loop& loop, std::function<void(std::string_view)> on_datagram)
    : block_(new handle_block)
{
    uv_udp_init(loop.native(), &block_->handle);
    block_->handle.data = block_;
    block_->loop = &loop;
    block_->on_datagram = std::move(on_datagram);
}

udp_socket::~udp_socket()
{
    block_->open = false;
    uv_close(reinterpret_cast<uv_handle_t*>(&block_->handle),
             [](uv_handle_t* handle) { delete static_cast<handle_block*>(handle->data); });
}

bool udp_socket::bind(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    if (uv_ip4_addr(ip.c_str(), port, &address) != 0 ||
        uv_udp_bind(&block_->handle, reinterpret_cast<sockaddr*>(&address), 0) != 0) {
        return false;
    }
    return uv_udp_recv_start(
               &block_->handle,
               [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                   *buffer = static_cast<handle_block*>(handle->data)->loop->read_buffer();
               },
               [](uv_udp_t* handle, ssize_t count, const uv_buf_t* buffer, const sockaddr* sender, unsigned) {
                   auto* block = static_cast<handle_block*>(handle->data);
                   if (count > 0 && sender != nullptr && block->open) {
                       block->on_datagram({buffer->base, static_cast<std::size_t>(count)});
                   }
               }) == 0;
}

bool udp_socket::send(const std::string& ip, std::uint16_t port, std::string_view bytes)
{
    sockaddr_in address{};
    if (uv_ip4_addr(ip.c_str(), port, &address) != 0) {
        return false;
    }
    uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
    return uv_udp_try_send(&block_->handle, &buffer, 1, reinterpret_cast<sockaddr*>(&address)) >= 0;
}

} // namespace clementinegap
