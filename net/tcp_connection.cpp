#include "net/tcp_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <linux/sockios.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace clementinegap {
namespace {

constexpr int listen_backlog = 1024;
/// For systems that do not tell what has been acknowledged.
constexpr int default_unacknowledged_timeout_ms = 3000;

template <class option> void set_option(const uv_tcp_t& handle, int level, int name, const option& value)
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &descriptor) == 0) {
        // Without support for the option the system default applies; the daemon's own timeouts still hold.
        (void)setsockopt(descriptor, level, name, &value, sizeof value);
    }
}

/// \param resets whether the system resets the connection when its descriptor is closed, also by the end of
/// the process.
void set_reset_by_system(const uv_tcp_t& handle, bool resets)
{
    set_option(handle, SOL_SOCKET, SO_LINGER, linger{resets ? 1 : 0, 0});
}

/// Bytes in the system's send queue that the peer has not acknowledged; nothing if the system does not tell.
std::optional<std::size_t> system_queue_bytes(const uv_tcp_t& handle)
{
    uv_os_fd_t descriptor = -1;
    int bytes = 0;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &descriptor) != 0 ||
        ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes < 0) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(bytes);
}

/// The most that the system takes for a connection that is not read.
std::size_t receive_window(const uv_tcp_t& handle)
{
    uv_os_fd_t descriptor = -1;
    int bytes = 0;
    socklen_t size = sizeof bytes;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &descriptor) != 0 ||
        getsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, &size) != 0 || bytes < 0) {
        return 0;
    }
    // Half of the buffer is for the system's own data.
    return static_cast<std::size_t>(bytes) / 2;
}

/// Bytes in the system's receive queue; nothing if the system does not tell.
std::optional<std::size_t> system_unread_bytes(const uv_tcp_t& handle)
{
    uv_os_fd_t descriptor = -1;
    int bytes = 0;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &descriptor) != 0 ||
        ioctl(descriptor, FIONREAD, &bytes) != 0 || bytes < 0) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(bytes);
}

std::optional<tcp_info> system_info(const uv_tcp_t& handle)
{
    uv_os_fd_t descriptor = -1;
    tcp_info info{};
    socklen_t size = sizeof info;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &descriptor) != 0 ||
        getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        size < offsetof(tcp_info, tcpi_last_ack_recv) + sizeof info.tcpi_last_ack_recv) {
        return std::nullopt;
    }
    return info;
}

/// Whether sent data or a window probe awaits an answer, and the peer's system has answered nothing in this
/// time. Data that does not fit the peer's window has not been sent.
bool is_silent(const uv_tcp_t& handle, duration time)
{
    const auto info = system_info(handle);
    // Zero is not told from a system that does not keep it.
    const bool has_answered =
        info && info->tcpi_last_ack_recv > 0 && milliseconds(info->tcpi_last_ack_recv) < time;
    return info && (info->tcpi_unacked > 0 || info->tcpi_probes > 0) && !has_answered;
}

/// Whether the system has closed the connection in both directions, so that an outstanding write fails at
/// once.
bool is_closed_by_system(const uv_tcp_t& handle)
{
    const auto info = system_info(handle);
    return info && info->tcpi_state == TCP_CLOSE;
}

/// Whether a connection that libuv reports as ended has a failure that nobody was told of. After a short read
/// libuv reports a hang-up as end of stream without reading the socket, which hides a reset.
bool has_untold_failure(const uv_stream_t* stream)
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(stream), &descriptor) != 0) {
        return true;
    }
    char byte = 0;
    return recv(descriptor, &byte, sizeof byte, MSG_DONTWAIT) != 0;
}

} // namespace

/// Outlives the connection until libuv has closed the handle.
struct tcp_connection::handle_block {
    uv_tcp_t handle{};
    uv_connect_t connect{};
    tcp_connection* owner{nullptr};
};

struct tcp_connection::write_block {
    uv_write_t request{};
    std::string bytes;
};

tcp_connection::tcp_connection(event_loop& loop, tcp_connection_events& events)
    : loop_(loop), events_(events), block_(new handle_block), unwritten_bytes_(loop.buffers()),
      system_bytes_(loop.buffers(), byte_budget::holder::system)
{
    uv_tcp_init(loop.native(), &block_->handle);
    block_->handle.data = block_;
    block_->owner = this;
}

tcp_connection::~tcp_connection()
{
    close();
}

void tcp_connection::close()
{
    if (block_ == nullptr) {
        return;
    }
    if (std::exchange(flush_pending_, false)) {
        loop_.forget(*this);
        (void)write_without_waiting(); // What the system does not take now is dropped.
    }
    loop_.deliveries().remove(*this);
    auto* block = block_;
    block_ = nullptr;
    block->owner = nullptr;
    closed_reported_ = true;
    queue_.clear();
    unwritten_bytes_.resize(0);
    system_bytes_.resize(0);
    const uv_close_cb free_block = [](uv_handle_t* handle) {
        delete static_cast<handle_block*>(handle->data);
    };
    if (reset_on_close_ && uv_tcp_close_reset(&block->handle, free_block) == 0) {
        return;
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&block->handle), free_block);
}

bool tcp_connection::connect(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    if (uv_ip4_addr(ip.c_str(), port, &address) != 0) {
        return false;
    }
    block_->connect.data = block_;
    const int result = uv_tcp_connect(
        &block_->connect, &block_->handle, reinterpret_cast<sockaddr*>(&address),
        [](uv_connect_t* request, int status) {
            auto* owner = static_cast<handle_block*>(request->data)->owner;
            if (owner == nullptr) {
                return;
            }
            if (status != 0) {
                owner->report_closed(status == UV_ECONNREFUSED ? close_cause::refused : close_cause::reset);
                return;
            }
            owner->start_reading();
            owner->events_.on_connected();
        });
    uv_tcp_nodelay(&block_->handle, 1);
    return result == 0;
}

bool tcp_connection::accept(uv_stream_t* listening)
{
    if (uv_accept(listening, reinterpret_cast<uv_stream_t*>(&block_->handle)) != 0) {
        return false;
    }
    uv_tcp_nodelay(&block_->handle, 1);
    start_reading();
    return true;
}

void tcp_connection::set_keepalive_limits(const keepalive_limits& limits)
{
    set_option(block_->handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(block_->handle, IPPROTO_TCP, TCP_KEEPIDLE, limits.probe_after_s);
    set_option(block_->handle, IPPROTO_TCP, TCP_KEEPINTVL, limits.probe_interval_s);
    set_option(block_->handle, IPPROTO_TCP, TCP_KEEPCNT, limits.probes);
    static const bool tells_delivery = system_queue_bytes(block_->handle) && system_info(block_->handle);
    is_delivery_watched_ = tells_delivery && !limits.unacknowledged_timeout_ms;
    if (!is_delivery_watched_) {
        const int timeout_ms = limits.unacknowledged_timeout_ms.value_or(default_unacknowledged_timeout_ms);
        set_option(block_->handle, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
    }
}

void tcp_connection::set_receive_buffer(std::size_t bytes)
{
    if (block_ != nullptr) {
        set_option(block_->handle, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
    }
}

void tcp_connection::start_reading()
{
    reading_ = true;
    read_enough_ = false;
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&block_->handle),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
            auto* owner = static_cast<handle_block*>(handle->data)->owner;
            // Without a buffer libuv reads on in the next iteration of the loop, after the other connections.
            const bool has_turn = owner != nullptr && !std::exchange(owner->read_enough_, false);
            *buffer = has_turn ? owner->loop_.read_buffer() : uv_buf_init(nullptr, 0);
        },
        &tcp_connection::on_read);
}

void tcp_connection::on_read(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer)
{
    auto* owner = static_cast<handle_block*>(stream->data)->owner;
    if (owner == nullptr || count == 0 || count == UV_ENOBUFS) {
        return;
    }
    const event_loop::input_batch batch(owner->loop_);
    if (count == UV_EOF) {
        owner->on_end_of_input();
        return;
    }
    if (count < 0) {
        owner->report_closed(close_cause::reset);
        return;
    }
    owner->read_enough_ = static_cast<std::size_t>(count) == buffer->len;
    owner->events_.on_bytes({buffer->base, static_cast<std::size_t>(count)});
}

void tcp_connection::on_end_of_input()
{
    was_reset_ = was_reset_ || has_untold_failure(reinterpret_cast<const uv_stream_t*>(&block_->handle));
    if (!was_reset_ && writing_ && is_closed_by_system(block_->handle)) {
        // libuv tells the result of a write in a later iteration of the loop.
        reading_ = false;
        end_awaits_write_ = true;
        return;
    }
    report_closed(was_reset_ ? close_cause::reset : close_cause::end_of_stream);
}

void tcp_connection::report_closed(close_cause cause)
{
    if (closed_reported_) {
        return;
    }
    closed_reported_ = true;
    loop_.deliveries().remove(*this);
    if (reading_) {
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&block_->handle));
        reading_ = false;
    }
    events_.on_closed(cause);
}

void tcp_connection::write(std::string bytes)
{
    if (bytes.empty() || closed_reported_ || write_failed_) {
        return;
    }
    written_bytes_ += bytes.size();
    queue_.append(std::move(bytes));
    if (is_delivery_watched_) {
        loop_.deliveries().add(*this);
    }
    if (!loop_.is_in_batch()) {
        flush();
        return;
    }
    if (!std::exchange(flush_pending_, true)) {
        loop_.flush_after_batch(*this);
    }
    count_unwritten();
}

void tcp_connection::flush()
{
    flush_pending_ = false;
    if (!writing_) {
        auto rest = write_without_waiting();
        if (!rest.empty()) {
            start_write(std::move(rest));
        }
    }
    shut_down_if_drained();
    count_unwritten();
}

std::string tcp_connection::write_without_waiting()
{
    if (writing_) {
        return {};
    }
    auto* stream = reinterpret_cast<uv_stream_t*>(&block_->handle);
    while (!queue_.empty()) {
        auto bytes = queue_.take_front();
        uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
        const int result = uv_try_write(stream, &buffer, 1);
        if (result < 0 && result != UV_EAGAIN) {
            on_write_failed(result);
            return {};
        }
        const auto written = result > 0 ? static_cast<std::size_t>(result) : 0;
        if (written < bytes.size()) {
            bytes.erase(0, written);
            return bytes;
        }
    }
    return {};
}

void tcp_connection::start_write(std::string bytes)
{
    auto* block = new write_block;
    block->bytes = std::move(bytes);
    block->request.data = block;
    uv_buf_t buffer = uv_buf_init(block->bytes.data(), static_cast<unsigned>(block->bytes.size()));
    auto* stream = reinterpret_cast<uv_stream_t*>(&block_->handle);
    const int result = uv_write(&block->request, stream, &buffer, 1, [](uv_write_t* request, int status) {
        auto* owner = static_cast<handle_block*>(request->handle->data)->owner;
        delete static_cast<write_block*>(request->data);
        if (owner != nullptr) {
            owner->on_write_end(status);
        }
    });
    if (result != 0) {
        delete block;
        on_write_failed(result);
        return;
    }
    writing_ = true;
}

void tcp_connection::on_write_end(int status)
{
    writing_ = false;
    if (status != 0) {
        on_write_failed(status);
        count_unwritten();
    } else {
        flush();
    }
    if (end_awaits_write_) {
        report_closed(was_reset_ ? close_cause::reset : close_cause::end_of_stream);
        return;
    }
    if (!write_failed_ && unwritten() == 0) {
        events_.on_written();
    }
}

void tcp_connection::on_write_failed(int status)
{
    // The close is reported when what was received has been read. The system tells of a reset only once, here
    // or to a read; reads see an end of stream after that. EPIPE means that the peer had ended its stream
    // before, or that the reset was told already.
    queue_.clear();
    write_failed_ = true;
    was_reset_ = was_reset_ || status != UV_EPIPE;
}

void tcp_connection::reset_unless_ended()
{
    if (closed_reported_) {
        return;
    }
    set_reset_by_system(block_->handle, true);
}

void tcp_connection::close_in_order()
{
    if (!closed_reported_) {
        set_reset_by_system(block_->handle, false);
    }
}

void tcp_connection::end_writing()
{
    if (closed_reported_) {
        return;
    }
    ends_writing_ = true;
    shut_down_if_drained();
}

void tcp_connection::shut_down_if_drained()
{
    if (!ends_writing_ || writing_ || write_failed_ || !queue_.empty()) {
        return;
    }
    ends_writing_ = false;
    auto* request = new uv_shutdown_t;
    const int result = uv_shutdown(request, reinterpret_cast<uv_stream_t*>(&block_->handle),
                                   [](uv_shutdown_t* done, int status) {
                                       if (status == 0) {
                                           const auto* block = static_cast<handle_block*>(done->handle->data);
                                           set_reset_by_system(block->handle, false);
                                       }
                                       delete done;
                                   });
    if (result != 0) {
        delete request;
    }
}

std::size_t tcp_connection::unwritten() const
{
    if (block_ == nullptr) {
        return 0;
    }
    const auto* stream = reinterpret_cast<const uv_stream_t*>(&block_->handle);
    return uv_stream_get_write_queue_size(stream) + queue_.size();
}

std::size_t tcp_connection::undelivered() const
{
    if (block_ == nullptr) {
        return 0;
    }
    return unwritten() + system_queue_bytes(block_->handle).value_or(0);
}

void tcp_connection::count_unwritten()
{
    unwritten_bytes_.resize(unwritten());
    count_system_bytes();
}

void tcp_connection::count_system_bytes()
{
    if (!is_delivery_watched_ || block_ == nullptr) {
        return;
    }
    const auto passed = written_bytes_ - std::min<std::uint64_t>(unwritten(), written_bytes_);
    const auto outstanding = passed - std::min(acknowledged_, passed);
    system_bytes_.resize(static_cast<std::size_t>(outstanding) + unread_);
}

void tcp_connection::measure()
{
    if (block_ == nullptr) {
        return;
    }
    // The system counts the end of the stream as another byte.
    acknowledged_ = written_bytes_ - std::min<std::uint64_t>(undelivered(), written_bytes_);
    unread_ = reading_ ? 0 : system_unread_bytes(block_->handle).value_or(0);
    count_system_bytes();
}

bool tcp_connection::check_delivery(duration elapsed)
{
    measure();
    const auto outstanding = written_bytes_ - acknowledged_;
    const bool silent = outstanding > 0 && is_silent(block_->handle, elapsed);
    if (delivery_.observe({acknowledged_, outstanding, silent}, elapsed)) {
        reset_on_close_ = true;
        report_closed(close_cause::reset);
        return false;
    }
    return outstanding > 0 || !reading_;
}

void tcp_connection::pause(bool paused)
{
    if (closed_reported_ || paused != reading_) {
        return;
    }
    if (paused) {
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&block_->handle));
        reading_ = false;
        if (is_delivery_watched_) {
            unread_ = receive_window(block_->handle);
            count_system_bytes();
            loop_.deliveries().add(*this);
        }
        return;
    }
    unread_ = 0;
    count_system_bytes();
    start_reading();
}

struct tcp_listener::handle_block {
    uv_tcp_t handle{};
    std::function<void(uv_stream_t*)> on_connection;
};

tcp_listener::tcp_listener(event_loop& loop, std::function<void(uv_stream_t*)> on_connection)
    : block_(new handle_block)
{
    uv_tcp_init(loop.native(), &block_->handle);
    block_->handle.data = block_;
    block_->on_connection = std::move(on_connection);
}

tcp_listener::~tcp_listener()
{
    uv_close(reinterpret_cast<uv_handle_t*>(&block_->handle),
             [](uv_handle_t* handle) { delete static_cast<handle_block*>(handle->data); });
}

bool tcp_listener::listen(const std::string& ip, std::uint16_t port,
                          std::optional<std::size_t> receive_buffer)
{
    sockaddr_in address{};
    if (uv_ip4_addr(ip.c_str(), port, &address) != 0 ||
        uv_tcp_bind(&block_->handle, reinterpret_cast<sockaddr*>(&address), 0) != 0) {
        return false;
    }
    if (receive_buffer) {
        // Accepted connections inherit it, so that the first window is limited, too.
        set_option(block_->handle, SOL_SOCKET, SO_RCVBUF, static_cast<int>(*receive_buffer));
    }
    return uv_listen(reinterpret_cast<uv_stream_t*>(&block_->handle), listen_backlog,
                     [](uv_stream_t* stream, int status) {
                         if (status == 0) {
                             static_cast<handle_block*>(stream->data)->on_connection(stream);
                         }
                     }) == 0;
}

std::uint16_t tcp_listener::port() const
{
    sockaddr_in address{};
    int size = sizeof address;
    if (uv_tcp_getsockname(&block_->handle, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return 0;
    }
    return ntohs(address.sin_port);
}

} // namespace clementinegap
