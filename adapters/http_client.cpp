#include "adapters/http_client.h"

#include "core/bounded_ring.h"
#include "net/http_reader.h"

#include <curl/curl.h>

#include <atomic>
#include <thread>
#include <unordered_map>
#include <variant>

namespace clementinegap {
namespace {

constexpr int poll_timeout_ms = 1000;
constexpr long max_kept_connections = 256;

/// One call under way. libcurl connects, sends and receives; the answer is read by `http_reader`, as libcurl
/// takes heads and chunks that are not valid.
struct transfer {
    http_call_id id{0};
    http_call call;
    http_call_events events;
    CURL* easy{nullptr};
    curl_slist* headers{nullptr};
    bool head_told{false};
    bool held{false};
    http_reader reader{http_reader::kind::responses,
                       {[](http_head&) { return http_reader::body_rule::as_framed; },
                        [this](std::string_view bytes) { tell_body(bytes); }, [] {}}};

    transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    ~transfer()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }

    long status() const
    {
        long value = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &value);
        return value;
    }

    /// Reads bytes of the answer. \returns whether the call may go on.
    bool read(std::string_view bytes)
    {
        const auto taken = reader.feed(bytes);
        if (reader.status() == http_reader::state::broken) {
            return false;
        }
        if (taken < bytes.size()) {
            // The answer is complete; whatever follows it is no answer to another call.
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        return true;
    }

    void tell_body(std::string_view bytes)
    {
        tell_head();
        if (events.on_bytes) {
            events.on_bytes(bytes);
        }
    }

    void tell_head()
    {
        if (head_told) {
            return;
        }
        head_told = true;
        if (events.on_head) {
            const char* content_type = nullptr;
            curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &content_type);
            events.on_head(static_cast<std::uint16_t>(status()), content_type == nullptr ? "" : content_type);
        }
    }
};

struct start_command {
    std::unique_ptr<transfer> item;
};
struct cancel_command {
    http_call_id id;
};
struct pause_command {
    http_call_id id;
    bool hold;
};
using command = std::variant<start_command, cancel_command, pause_command>;

/// Makes libcurl end a call and close its connection.
constexpr std::size_t nothing_taken = 0;

std::size_t on_header_line(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& item = *static_cast<transfer*>(context);
    return item.read({data, size * count}) ? size * count : nothing_taken;
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& item = *static_cast<transfer*>(context);
    if (item.held) {
        return CURL_WRITEFUNC_PAUSE;
    }
    return item.read({data, size * count}) ? size * count : nothing_taken;
}

CURLM* open_multi()
{
    static const CURLcode global = curl_global_init(CURL_GLOBAL_DEFAULT);
    return global == CURLE_OK ? curl_multi_init() : nullptr;
}

http_end_kind kind_of(CURLcode code, const transfer& item)
{
    if (code == CURLE_OK) {
        return item.reader.status() == http_reader::state::complete ? http_end_kind::complete
                                                                    : http_end_kind::broken;
    }
    // libcurl has codes that mean both a call that cannot be made and an answer that is not HTTP.
    long request_bytes = 0;
    curl_easy_getinfo(item.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    if (request_bytes > 0) {
        return http_end_kind::broken;
    }
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return http_end_kind::not_reached;
    default:
        return http_end_kind::broken;
    }
}

} // namespace

class http_client::implementation {
public:
    implementation(std::size_t max_commands, http_client_tls tls)
        : commands_(max_commands), tls_(std::move(tls)), multi_(open_multi())
    {
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_kept_connections);
        thread_ = std::thread([this] { run(); });
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation()
    {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        thread_.join();
        for (auto& [id, item] : transfers_) {
            curl_multi_remove_handle(multi_, item->easy);
        }
        transfers_.clear();
        curl_multi_cleanup(multi_);
    }

    http_call_id start(http_call call, http_call_events events)
    {
        const http_call_id id = ++last_id_;
        auto item = std::make_unique<transfer>();
        item->id = id;
        item->call = std::move(call);
        item->events = std::move(events);
        const auto on_end = item->events.on_end;
        if (!send(start_command{std::move(item)}) && on_end) {
            on_end({http_end_kind::not_reached, 0, "the command ring is full"});
        }
        return id;
    }

    bool send(command value)
    {
        const bool accepted = commands_.push(std::move(value));
        curl_multi_wakeup(multi_);
        return accepted;
    }

private:
    void run()
    {
        while (!stopping_) {
            while (auto next = commands_.pop()) {
                std::visit([this](auto& value) { handle(value); }, *next);
            }
            int running = 0;
            curl_multi_perform(multi_, &running);
            finish_done();
            curl_multi_poll(multi_, nullptr, 0, poll_timeout_ms, nullptr);
        }
    }

    void handle(start_command& value)
    {
        auto& item = *value.item;
        item.easy = curl_easy_init();
        set_options(item);
        curl_multi_add_handle(multi_, item.easy);
        transfers_.emplace(item.id, std::move(value.item));
    }

    void handle(const cancel_command& value)
    {
        const auto found = transfers_.find(value.id);
        if (found != transfers_.end()) {
            curl_multi_remove_handle(multi_, found->second->easy);
            transfers_.erase(found);
        }
    }

    void handle(const pause_command& value)
    {
        const auto found = transfers_.find(value.id);
        if (found == transfers_.end()) {
            return;
        }
        found->second->held = value.hold;
        if (!value.hold) {
            curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
        }
    }

    void set_options(transfer& item) const
    {
        CURL* easy = item.easy;
        for (const auto& line : item.call.headers) {
            item.headers = curl_slist_append(item.headers, line.c_str());
        }
        item.headers = curl_slist_append(item.headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, item.call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, item.headers);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &item);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header_line);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &item);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &item);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, item.call.fresh_connection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(to_milliseconds(item.call.connect_timeout)));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(to_milliseconds(item.call.timeout)));
        if (item.call.method != "GET") {
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, item.call.method.c_str());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(item.call.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, item.call.body.data());
        }
        set_tls(easy);
    }

    void set_tls(CURL* easy) const
    {
        if (!tls_.ca_file.empty()) {
            curl_easy_setopt(easy, CURLOPT_CAINFO, tls_.ca_file.c_str());
        }
        if (!tls_.certificate_file.empty()) {
            curl_easy_setopt(easy, CURLOPT_SSLCERT, tls_.certificate_file.c_str());
            curl_easy_setopt(easy, CURLOPT_SSLKEY, tls_.key_file.c_str());
        }
    }

    void finish_done()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            transfer* item = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &item);
            curl_multi_remove_handle(multi_, item->easy);
            auto node = transfers_.extract(item->id);
            finish(*node.mapped(), code);
        }
    }

    static void finish(transfer& item, CURLcode code)
    {
        if (code == CURLE_OK) {
            item.reader.feed_end();
        }
        http_end end;
        end.kind = kind_of(code, item);
        if (end.kind == http_end_kind::complete) {
            end.status = static_cast<std::uint16_t>(item.status());
            item.tell_head();
        } else if (item.reader.status() == http_reader::state::broken) {
            end.problem = item.reader.problem();
        } else {
            end.problem = code == CURLE_OK ? "the answer is incomplete" : curl_easy_strerror(code);
        }
        if (item.events.on_end) {
            item.events.on_end(end);
        }
    }

    bounded_ring<command> commands_;
    http_client_tls tls_;
    CURLM* multi_;
    std::atomic<http_call_id> last_id_{0};
    std::atomic<bool> stopping_{false};
    std::unordered_map<http_call_id, std::unique_ptr<transfer>> transfers_;
    std::thread thread_;
};

http_client::http_client(std::size_t max_commands, http_client_tls tls)
    : implementation_(std::make_unique<implementation>(max_commands, std::move(tls)))
{
}

http_client::~http_client() = default;

http_call_id http_client::start(http_call call, http_call_events events)
{
    return implementation_->start(std::move(call), std::move(events));
}

void http_client::cancel(http_call_id id)
{
    implementation_->send(cancel_command{id});
}

void http_client::hold(http_call_id id)
{
    implementation_->send(pause_command{id, true});
}

void http_client::read(http_call_id id)
{
    implementation_->send(pause_command{id, false});
}

} // namespace clementinegap
