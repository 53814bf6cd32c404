#include "adapters/http_server.h"

#include "adapters/peer_sockets.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <charconv>
#include <condition_variable>
#include <cstring>
#include <limits>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace clementinegap {
namespace {

constexpr std::size_t stream_block_bytes = 16384;
/// Bytes are reported as taken in pieces of this size, not for each token. It stays well below the window
/// that a writer keeps open, so an unreported rest never stalls a stream.
constexpr std::size_t drain_report_bytes = 16384;
constexpr std::size_t discard_factor = 8;
constexpr auto watch_interval = std::chrono::milliseconds(100);
/// A consumed prefix of a stream's buffer is given back once it is this long and the longer part.
constexpr std::size_t compaction_bytes = 65536;
constexpr int listen_backlog = 1024;
/// Receive buffer of each connection, which counts as memory while it is not read.
constexpr int receive_buffer_bytes = 16384;
/// The same for a connection that sends a large body.
constexpr int body_receive_buffer_bytes = 65536;
/// Connections that are being closed for others do not count, but libmicrohttpd counts them.
constexpr std::size_t closing_connections = 64;

std::string lower_case(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

enum class answer_form : std::uint8_t { none, whole, stream };

/// One exchange. The server's thread and the answering thread meet under the mutex.
struct exchange {
    exchange_id id{0};
    MHD_Connection* connection{nullptr};
    int socket{-1};
    http_request request;
    std::chrono::steady_clock::time_point started;
    std::size_t request_bytes{0}; ///< Of the body, which is held until the exchange ends.
    bool delivered{false};        ///< The request was handed to the owner.

    std::mutex mutex;
    answer_form form{answer_form::none};
    std::uint16_t status{0};
    http_server::headers fields;
    std::string buffer;
    std::size_t taken{0}; ///< Bytes of `buffer` that the connection took.
    bool ended{false};
    bool aborted{false};
    bool suspended{false};
    bool gone{false};
    std::size_t unreported{0}; ///< Bytes taken since `drained` was last called.
    std::function<void(exchange_id, std::uint32_t)> drained;
};

using exchange_ptr = std::shared_ptr<exchange>;

void resume_locked(exchange& item)
{
    if (item.suspended && !item.gone) {
        item.suspended = false;
        MHD_resume_connection(item.connection);
    }
}

MHD_Result collect_header(void* target, MHD_ValueKind /*kind*/, const char* name, const char* value)
{
    auto& headers = *static_cast<std::map<std::string, std::string, std::less<>>*>(target);
    headers[lower_case(name)] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result collect_query(void* target, MHD_ValueKind /*kind*/, const char* name, const char* value)
{
    auto& query = *static_cast<std::map<std::string, std::string, std::less<>>*>(target);
    query[name] = value == nullptr ? "" : value;
    return MHD_YES;
}

/// The length that the headers announce; 0 without one.
std::size_t declared_length(const http_request& request)
{
    const auto text = request.header("content-length");
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

std::string fault_text(const fault_answer& answer)
{
    const auto retry_after = answer.retry_after > seconds(0)
                                 ? "Retry-After: " + std::to_string(answer.retry_after.count()) + "\r\n"
                                 : std::string();
    return "HTTP/1.1 " + std::to_string(answer.status) +
           " Refused\r\nContent-Type: application/json\r\nConnection: close\r\n" + retry_after +
           "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

time_point steady_now()
{
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

void set_receive_buffer(int socket, int bytes)
{
    // Without support for the option the system default applies.
    (void)setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

/// A listening socket; -1 if the address cannot be bound.
int listening_socket(const sockaddr_in& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return -1;
    }
    const int reuse = 1;
    (void)setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    // Accepted connections inherit it, so that the first window is limited, too.
    set_receive_buffer(socket, receive_buffer_bytes);
    if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(socket, listen_backlog) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

/// Makes the server close a connection and drop what the system holds of it.
void shut_down(int socket)
{
    const linger dropping{1, 0};
    (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &dropping, sizeof dropping);
    (void)::shutdown(socket, SHUT_RDWR);
}

/// A decoded path could hold line breaks and other parts of a request to whoever it is forwarded to.
std::size_t leave_escaped(void* /*context*/, MHD_Connection* /*connection*/, char* text)
{
    return std::strlen(text);
}

void add_headers(MHD_Response* response, const http_server::headers& fields)
{
    for (const auto& [name, value] : fields) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
}

} // namespace

std::string_view http_request::header(std::string_view name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

class http_server::implementation {
public:
    implementation() = default;
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation() { stop(); }

    outcome<void> start(const http_server_options& options, http_server_events events)
    {
        options_ = options;
        events_ = std::move(events);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(options.port);
        if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
            return failure(result_code::invalid_settings, "not an IPv4 address: " + options.address);
        }
        const int listening = listening_socket(address);
        if (listening < 0) {
            return failure(result_code::invalid_settings,
                           "cannot listen on " + options.address + ":" + std::to_string(options.port));
        }
        sockets_ = peer_sockets({options.max_connections, options.buffer_limit, options.ceiling});
        const auto connection_limit = std::min<std::size_t>(
            options.max_connections, std::numeric_limits<unsigned int>::max() - closing_connections);
        unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
        std::vector<MHD_OptionItem> items{
            {MHD_OPTION_LISTEN_SOCKET, listening, nullptr},
            {MHD_OPTION_CONNECTION_LIMIT, static_cast<std::intptr_t>(connection_limit + closing_connections),
             nullptr},
            {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
             static_cast<std::intptr_t>(http_server_options::connection_bytes), nullptr},
            {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<std::intptr_t>(&implementation::on_connection),
             this},
            {MHD_OPTION_CONNECTION_TIMEOUT, std::chrono::ceil<seconds>(options.idle_timeout).count(),
             nullptr},
            {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&implementation::on_completed),
             this},
            {MHD_OPTION_UNESCAPE_CALLBACK, reinterpret_cast<std::intptr_t>(&leave_escaped), nullptr},
        };
        if (options.threads > 1) {
            items.push_back(
                {MHD_OPTION_THREAD_POOL_SIZE, static_cast<std::intptr_t>(options.threads), nullptr});
        }
        if (!options.tls_certificate_pem.empty()) {
            flags |= MHD_USE_TLS;
            items.push_back(
                {MHD_OPTION_HTTPS_MEM_CERT, 0, const_cast<char*>(options_.tls_certificate_pem.c_str())});
            items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, const_cast<char*>(options_.tls_key_pem.c_str())});
        }
        items.push_back({MHD_OPTION_END, 0, nullptr});
        daemon_ = MHD_start_daemon(flags, options.port, nullptr, nullptr, &implementation::on_access, this,
                                   MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
        if (daemon_ == nullptr) {
            ::close(listening);
            return failure(result_code::invalid_settings,
                           "cannot serve on " + options.address + ":" + std::to_string(options.port));
        }
        running_ = true;
        watcher_ = std::thread([this] { watch_sockets(); });
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void stop()
    {
        if (daemon_ == nullptr) {
            return;
        }
        {
            // From here on no exchange is opened, so that none can suspend its connection after the last look
            // below; libmicrohttpd does not stop over a suspended connection.
            const std::lock_guard lock(table_mutex_);
            running_ = false;
        }
        watch_wakeup_.notify_all();
        watcher_.join();
        for (const auto& item : all()) {
            const std::lock_guard lock(item->mutex);
            item->aborted = true;
            resume_locked(*item);
        }
        MHD_stop_daemon(daemon_);
        daemon_ = nullptr;
    }

    std::uint16_t port() const
    {
        const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
        return info == nullptr ? std::uint16_t{0} : info->port;
    }

    std::size_t buffered()
    {
        std::size_t total = 0;
        for (const auto& item : all()) {
            const std::lock_guard lock(item->mutex);
            total += item->buffer.size();
        }
        return total;
    }

    /// Applies `change` to an exchange that is still there and lets its connection go on.
    template <class Change> void change(exchange_id id, Change&& change)
    {
        const auto item = find(id);
        if (item == nullptr) {
            return;
        }
        const std::lock_guard lock(item->mutex);
        std::forward<Change>(change)(*item);
        resume_locked(*item);
    }

private:
    exchange_ptr find(exchange_id id)
    {
        const std::lock_guard lock(table_mutex_);
        const auto found = table_.find(id);
        return found == table_.end() ? nullptr : found->second;
    }

    static MHD_Result on_access(void* self, MHD_Connection* connection, const char* url, const char* method,
                                const char* /*version*/, const char* data, std::size_t* size, void** context)
    {
        return static_cast<implementation*>(self)->access(connection, url, method, data, size, context);
    }

    static void on_connection(void* self, MHD_Connection* connection, void** /*context*/,
                              MHD_ConnectionNotificationCode code)
    {
        static_cast<implementation*>(self)->connection_changed(connection, code);
    }

    void connection_changed(MHD_Connection* connection, MHD_ConnectionNotificationCode code)
    {
        const int socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        const std::lock_guard lock(table_mutex_);
        if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
            sockets_.closed(socket);
            return;
        }
        const auto now = steady_now();
        sockets_.opened(socket, now);
        if (sockets_.is_over_full()) {
            const int replaced = sockets_.to_replace(now);
            shut_locked(replaced < 0 ? socket : replaced);
        }
    }

    /// Under the table's mutex a socket stays open, as its end is told before it is closed.
    void shut_locked(int socket)
    {
        shut_down(socket);
        sockets_.shut(socket);
    }

    static void on_completed(void* self, MHD_Connection* /*connection*/, void** context,
                             MHD_RequestTerminationCode code)
    {
        static_cast<implementation*>(self)->completed(context, code);
    }

    MHD_Result access(MHD_Connection* connection, const char* url, const char* method, const char* data,
                      std::size_t* size, void** context)
    {
        if (*context == nullptr) {
            const auto opened = open(connection, url, method);
            if (opened == nullptr) {
                return MHD_NO;
            }
            *context = opened.get();
            return refused_by_headers(*opened) ? deliver(*opened) : MHD_YES;
        }
        auto& item = *static_cast<exchange*>(*context);
        if (item.delivered) {
            *size = 0;
            return queue_answer(item);
        }
        if (*size > 0) {
            return receive(item, data, size);
        }
        return deliver(item);
    }

    /// Whether the body's announced length is too large and its sender waits for leave to send it, or would
    /// send more than is discarded. The answer then goes out before the body comes.
    bool refused_by_headers(exchange& item) const
    {
        const auto length = declared_length(item.request);
        const bool waits = !item.request.header("expect").empty();
        const auto limit = waits ? options_.max_body : options_.max_body * discard_factor;
        if (length <= limit) {
            return false;
        }
        item.request.fault = receive_fault::too_large;
        return true;
    }

    exchange_ptr open(MHD_Connection* connection, const char* url, const char* method)
    {
        auto item = std::make_shared<exchange>();
        item->connection = connection;
        item->socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        item->started = std::chrono::steady_clock::now();
        item->drained = events_.on_drained;
        item->request.method = method;
        item->request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect_header, &item->request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collect_query, &item->request.query);
        if (declared_length(item->request) > peer_sockets::small_share) {
            set_receive_buffer(item->socket, body_receive_buffer_bytes);
        }
        const std::lock_guard lock(table_mutex_);
        if (!running_) {
            return nullptr;
        }
        item->id = ++last_id_;
        item->request.exchange = item->id;
        sockets_.request_is(item->socket, connection_usage::phase::receiving, steady_now());
        table_.emplace(item->id, item);
        return item;
    }

    MHD_Result receive(exchange& item, const char* data, std::size_t* size)
    {
        auto& request = item.request;
        const std::lock_guard table_lock(table_mutex_);
        const auto grown = request.body.size() + *size;
        if (grown > options_.max_body) {
            request.fault = receive_fault::too_large;
        } else if (request.fault == receive_fault::none && !sockets_.may_hold(grown, *size)) {
            request.fault = receive_fault::no_memory;
        }
        if (request.fault != receive_fault::none) {
            std::string().swap(request.body);
        }
        item.taken += *size;
        sockets_.received(item.socket, *size);
        if (request.fault == receive_fault::none) {
            append_to_body(request, data, *size);
            item.request_bytes = request.body.capacity();
            sockets_.set_held(item.socket, item.request_bytes);
        } else if (item.taken > options_.max_body * discard_factor) {
            const std::lock_guard lock(item.mutex);
            cut_off(item, receive_fault::too_large);
            return MHD_NO;
        }
        *size = 0;
        return MHD_YES;
    }

    /// Grows by steps, but not beyond the length that the headers announce.
    void append_to_body(http_request& request, const char* data, std::size_t size) const
    {
        const auto grown = request.body.size() + size;
        if (grown > request.body.capacity()) {
            const auto announced = std::min(declared_length(request), options_.max_body);
            request.body.reserve(std::clamp(2 * request.body.capacity(), grown, std::max(announced, grown)));
        }
        request.body.append(data, size);
    }

    /// Answers a sender in the middle of its request and stops listening to it. libmicrohttpd takes no answer
    /// there, so it is written to the socket, on which nothing else is being written at that time.
    void cut_off(exchange& item, receive_fault fault) const
    {
        item.aborted = true;
        if (options_.answer_fault && options_.tls_certificate_pem.empty()) {
            const auto text = fault_text(options_.answer_fault(fault));
            (void)::send(item.socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        }
        (void)::shutdown(item.socket, SHUT_RD);
    }

    MHD_Result deliver(exchange& item)
    {
        {
            const std::lock_guard table_lock(table_mutex_);
            sockets_.request_is(item.socket, connection_usage::phase::handling, steady_now());
        }
        {
            const std::lock_guard lock(item.mutex);
            if (item.aborted) {
                return MHD_NO;
            }
            item.delivered = true;
            item.taken = 0;
            item.suspended = true;
            MHD_suspend_connection(item.connection);
        }
        events_.on_request(std::move(item.request));
        return MHD_YES;
    }

    MHD_Result queue_answer(exchange& item)
    {
        const std::lock_guard lock(item.mutex);
        if (item.aborted) {
            return MHD_NO;
        }
        MHD_Response* response = nullptr;
        if (item.form == answer_form::whole) {
            response = MHD_create_response_from_buffer(item.buffer.size(), item.buffer.data(),
                                                       MHD_RESPMEM_PERSISTENT);
        } else if (item.form == answer_form::stream) {
            response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, stream_block_bytes,
                                                         &implementation::on_read, &item, nullptr);
        } else {
            item.suspended = true;
            MHD_suspend_connection(item.connection);
            return MHD_YES;
        }
        add_headers(response, item.fields);
        const auto result = MHD_queue_response(item.connection, item.status, response);
        MHD_destroy_response(response);
        return result;
    }

    static ssize_t on_read(void* context, std::uint64_t /*position*/, char* target, std::size_t max)
    {
        auto& item = *static_cast<exchange*>(context);
        const std::lock_guard lock(item.mutex);
        if (item.aborted) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        const auto left = item.buffer.size() - item.taken;
        if (left > 0) {
            const auto count = std::min(left, max);
            std::memcpy(target, item.buffer.data() + item.taken, count);
            item.taken += count;
            drop_taken(item);
            notify_drained(item, count);
            return static_cast<ssize_t>(count);
        }
        if (item.ended) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        item.suspended = true;
        MHD_suspend_connection(item.connection);
        return 0;
    }

    /// A reader that is never quite up to date would otherwise keep every byte it ever took.
    static void drop_taken(exchange& item)
    {
        if (item.taken == item.buffer.size()) {
            item.buffer.clear();
            item.taken = 0;
        } else if (item.taken >= compaction_bytes && item.taken * 2 > item.buffer.size()) {
            item.buffer.erase(0, item.taken);
            item.taken = 0;
        }
    }

    static void notify_drained(exchange& item, std::size_t count)
    {
        item.unreported += count;
        if (item.drained && item.unreported >= drain_report_bytes) {
            item.drained(item.id, static_cast<std::uint32_t>(std::exchange(item.unreported, 0)));
        }
    }

    void completed(void** context, MHD_RequestTerminationCode code)
    {
        auto* item = static_cast<exchange*>(*context);
        if (item == nullptr) {
            return;
        }
        *context = nullptr;
        exchange_ptr owned;
        {
            const std::lock_guard lock(table_mutex_);
            const auto found = table_.find(item->id);
            if (found != table_.end()) {
                owned = found->second;
                table_.erase(found);
                sockets_.set_held(owned->socket, 0);
                sockets_.request_is(owned->socket, connection_usage::phase::idle, steady_now());
            }
        }
        if (owned == nullptr) {
            return;
        }
        {
            const std::lock_guard lock(owned->mutex);
            owned->gone = true;
        }
        if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && owned->delivered && events_.on_gone) {
            events_.on_gone(owned->id);
        }
    }

    std::vector<exchange_ptr> all()
    {
        const std::lock_guard lock(table_mutex_);
        std::vector<exchange_ptr> result;
        result.reserve(table_.size());
        for (const auto& [id, item] : table_) {
            result.push_back(item);
        }
        return result;
    }

    /// libmicrohttpd neither looks at suspended connections nor answers a sender that stalls, so both are
    /// found here: callers that leave while they wait, and requests that are not received in time.
    void watch_sockets()
    {
        std::unique_lock lock(table_mutex_);
        while (running_) {
            watch_wakeup_.wait_for(lock, watch_interval, [this] { return !running_; });
            const auto waiting = look_at_exchanges();
            lock.unlock();
            end_departed(waiting);
            lock.lock();
        }
    }

    /// Cuts off the stalled senders and returns the exchanges that wait for their answer.
    std::vector<exchange_ptr> look_at_exchanges()
    {
        const auto latest_start = std::chrono::steady_clock::now() - options_.receive_timeout;
        std::vector<exchange_ptr> waiting;
        for (const auto& [id, item] : table_) {
            const std::lock_guard lock(item->mutex);
            if (item->suspended) {
                waiting.push_back(item);
            } else if (!item->delivered && !item->aborted && item->started < latest_start) {
                cut_off(*item, receive_fault::too_slow);
            }
            if (item->delivered) {
                const auto answer_bytes = item->buffer.size() - std::min(item->taken, item->buffer.size());
                sockets_.set_held(item->socket, item->request_bytes + answer_bytes);
            }
        }
        keep_within_ceiling();
        return waiting;
    }

    /// Refuses the requests that are being received, or closes the connections, that hold the most for the
    /// longest time without progress, while all of them hold too much.
    void keep_within_ceiling()
    {
        const auto now = steady_now();
        sockets_.measure(now);
        const auto shed = sockets_.to_shed(now);
        if (shed.empty()) {
            return;
        }
        std::map<int, exchange_ptr> receiving;
        for (const auto& [id, item] : table_) {
            if (sockets_.phase(item->socket) == connection_usage::phase::receiving) {
                receiving.emplace(item->socket, item);
            }
        }
        for (const int socket : shed) {
            const auto found = receiving.find(socket);
            if (found == receiving.end()) {
                shut_locked(socket);
                continue;
            }
            const std::lock_guard lock(found->second->mutex);
            if (!found->second->aborted) {
                cut_off(*found->second, receive_fault::no_memory);
                sockets_.shut(socket);
            }
        }
    }

    static void end_departed(const std::vector<exchange_ptr>& waiting)
    {
        std::vector<pollfd> states;
        states.reserve(waiting.size());
        for (const auto& item : waiting) {
            states.push_back({item->socket, POLLRDHUP, 0});
        }
        if (states.empty() || ::poll(states.data(), states.size(), 0) <= 0) {
            return;
        }
        for (std::size_t i = 0; i < states.size(); ++i) {
            if ((states[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0) {
                continue;
            }
            // An exchange that went on since then is not suspended any more; its socket's number may be
            // another connection's by now.
            const std::lock_guard lock(waiting[i]->mutex);
            if (waiting[i]->suspended && !waiting[i]->gone) {
                waiting[i]->aborted = true;
                resume_locked(*waiting[i]);
            }
        }
    }

    http_server_options options_;
    http_server_events events_;
    MHD_Daemon* daemon_{nullptr};
    std::mutex table_mutex_;
    std::condition_variable watch_wakeup_;
    std::unordered_map<exchange_id, exchange_ptr> table_;
    peer_sockets sockets_{{}};
    exchange_id last_id_{0};
    bool running_{false};
    std::thread watcher_;
};

http_server::http_server() : implementation_(std::make_unique<implementation>()) {}

http_server::~http_server() = default;

outcome<void> http_server::start(const http_server_options& options, http_server_events events)
{
    return implementation_->start(options, std::move(events));
}

void http_server::stop()
{
    implementation_->stop();
}

std::size_t http_server::buffered() const
{
    return implementation_->buffered();
}

std::uint16_t http_server::port() const
{
    return implementation_->port();
}

void http_server::answer(exchange_id exchange, std::uint16_t status, const headers& fields, std::string body)
{
    implementation_->change(exchange, [&](auto& item) {
        item.form = answer_form::whole;
        item.status = status;
        item.fields = fields;
        item.buffer = std::move(body);
    });
}

void http_server::begin(exchange_id exchange, std::uint16_t status, const headers& fields)
{
    implementation_->change(exchange, [&](auto& item) {
        item.form = answer_form::stream;
        item.status = status;
        item.fields = fields;
    });
}

void http_server::write(exchange_id exchange, std::string_view bytes)
{
    implementation_->change(exchange, [&](auto& item) { item.buffer.append(bytes); });
}

void http_server::end(exchange_id exchange)
{
    implementation_->change(exchange, [](auto& item) { item.ended = true; });
}

void http_server::abort(exchange_id exchange)
{
    implementation_->change(exchange, [](auto& item) { item.aborted = true; });
}

} // namespace clementinegap
