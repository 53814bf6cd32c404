#include "adapters/peer_client.h"

#include "adapters/peer_codec.h"
#include "adapters/peer_stamp.h"
#include "adapters/proto/peer.grpc.pb.h"
#include "adapters/write_queue.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace clementinegap {
namespace {

constexpr std::size_t max_unsent_bytes = 64U << 20U;
constexpr std::size_t message_overhead_bytes = 128;
constexpr int keepalive_time_ms = 2000;
constexpr int keepalive_timeout_ms = 2000;
constexpr int max_frame_bytes = 64 << 20;
constexpr int reconnect_initial_ms = 100;
constexpr int reconnect_max_ms = 1000;
constexpr auto reopen_interval = std::chrono::milliseconds(100);

std::size_t size_of(const entry_message& message)
{
    const auto* dispatch = std::get_if<dispatch_message>(&message);
    return message_overhead_bytes + (dispatch == nullptr ? 0 : dispatch->body.size());
}

grpc::ChannelArguments channel_arguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_time_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnect_initial_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnect_initial_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnect_max_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(max_frame_bytes);
    return arguments;
}

} // namespace

class peer_client::implementation {
public:
    implementation(entry_event_sink sink, peer_credentials credentials, hybrid_clock& clock)
        : sink_(std::move(sink)), credentials_(std::move(credentials)), clock_(clock),
          thread_([this] { keep_open(); })
    {
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation() { stop(); }

    void connect_to(const std::vector<std::pair<std::string, std::string>>& upstreams)
    {
        std::unique_lock lock(mutex_);
        std::map<std::string, std::string> wanted(upstreams.begin(), upstreams.end());
        for (auto& [vm, peer] : peers_) {
            const auto found = wanted.find(vm);
            if (found == wanted.end() || found->second != peer.address) {
                peer.retired = true;
                if (peer.open != nullptr) {
                    peer.open->cancel();
                }
            }
        }
        for (const auto& [vm, address] : wanted) {
            auto& peer = peers_[vm];
            if (peer.address != address) {
                peer.address = address;
                peer.channel =
                    grpc::CreateCustomChannel(address, credentials_.for_client(), channel_arguments());
            }
            peer.retired = false;
        }
        wakeup_.notify_all();
    }

    void send(const std::string& vm, const entry_message& message)
    {
        const std::lock_guard lock(mutex_);
        const auto found = peers_.find(vm);
        if (found != peers_.end() && found->second.open != nullptr) {
            found->second.open->send(message);
            if (!found->second.unflushed) {
                found->second.unflushed = true;
                unflushed_.push_back(vm);
            }
        }
    }

    void flush()
    {
        const std::lock_guard lock(mutex_);
        for (const auto& vm : unflushed_) {
            const auto found = peers_.find(vm);
            if (found == peers_.end()) {
                continue;
            }
            found->second.unflushed = false;
            if (found->second.open != nullptr) {
                found->second.open->flush();
            }
        }
        unflushed_.clear();
    }

    void stop()
    {
        {
            std::unique_lock lock(mutex_);
            stopping_ = true;
            for (auto& [vm, peer] : peers_) {
                peer.retired = true;
                if (peer.open != nullptr) {
                    peer.open->cancel();
                }
            }
            wakeup_.notify_all();
            wakeup_.wait(lock, [this] { return open_count_ == 0; });
        }
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    /// One stream to an upstream daemon; gRPC ends its life with `OnDone`.
    class session_reactor final : public grpc::ClientBidiReactor<wire::entry_frame, wire::upstream_frame> {
    public:
        session_reactor(implementation& owner, std::string vm, std::shared_ptr<grpc::Channel> channel)
            : owner_(owner), vm_(std::move(vm)), stub_(wire::peer::NewStub(channel)), queue_(max_unsent_bytes)
        {
        }

        void begin()
        {
            stub_->async()->session(&context_, this);
            // The hold keeps the call alive while `send` may still start a write.
            AddHold();
            StartRead(&incoming_);
            StartCall();
        }

        void cancel() { context_.TryCancel(); }

        void send(const entry_message& message)
        {
            const std::lock_guard lock(mutex_);
            if (ended_) {
                return;
            }
            const bool accepted = queue_.push(
                size_of(message), [&](wire::entry_frame& frame) { encode(message, *frame.add_messages()); });
            if (!accepted) {
                context_.TryCancel();
            }
        }

        void flush()
        {
            const std::lock_guard lock(mutex_);
            if (!ended_) {
                write_next();
            }
        }

        void OnReadDone(bool ok) override
        {
            if (!ok) {
                end();
                return;
            }
            witness(incoming_, owner_.clock_);
            for (const auto& message : incoming_.messages()) {
                auto decoded = decode(message);
                if (decoded && !owner_.sink_(upstream_message_received{vm_, std::move(*decoded)})) {
                    context_.TryCancel();
                }
            }
            StartRead(&incoming_);
        }

        void OnWriteDone(bool ok) override
        {
            const std::lock_guard lock(mutex_);
            queue_.end_write();
            if (ok && !ended_) {
                write_next();
            }
        }

        void OnDone(const grpc::Status& /*status*/) override { owner_.closed(vm_, this); }

    private:
        void write_next()
        {
            if (auto* frame = queue_.begin_write()) {
                stamp(*frame, owner_.clock_);
                StartWrite(frame);
            }
        }

        void end()
        {
            {
                const std::lock_guard lock(mutex_);
                if (std::exchange(ended_, true)) {
                    return;
                }
            }
            context_.TryCancel();
            RemoveHold();
        }

        implementation& owner_;
        std::string vm_;
        std::unique_ptr<wire::peer::Stub> stub_;
        grpc::ClientContext context_;
        std::mutex mutex_;
        write_queue<wire::entry_frame> queue_;
        bool ended_{false};
        wire::upstream_frame incoming_;
    };

    struct peer {
        std::string address;
        std::shared_ptr<grpc::Channel> channel;
        session_reactor* open{nullptr};
        bool retired{false};
        bool unflushed{false};
    };

    void keep_open()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_) {
            for (auto& [vm, peer] : peers_) {
                if (peer.open == nullptr && !peer.retired) {
                    open(vm, peer);
                }
            }
            std::erase_if(
                peers_, [](const auto& item) { return item.second.retired && item.second.open == nullptr; });
            wakeup_.wait_for(lock, reopen_interval, [this] { return stopping_; });
        }
    }

    void open(const std::string& vm, peer& target)
    {
        if (!sink_(upstream_connected{vm})) {
            return;
        }
        target.open = new session_reactor(*this, vm, target.channel);
        ++open_count_;
        target.open->begin();
    }

    void closed(const std::string& vm, session_reactor* reactor)
    {
        // The event goes first, so that it cannot overtake the next session's. Losing it would leave requests
        // waiting for a dead upstream, so it is offered until there is room.
        while (!sink_(upstream_disconnected{vm})) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        const std::lock_guard lock(mutex_);
        const auto found = peers_.find(vm);
        if (found != peers_.end() && found->second.open == reactor) {
            found->second.open = nullptr;
        }
        delete reactor;
        --open_count_;
        wakeup_.notify_all();
    }

    entry_event_sink sink_;
    peer_credentials credentials_;
    hybrid_clock& clock_;
    std::mutex mutex_;
    std::condition_variable wakeup_;
    std::map<std::string, peer> peers_;
    std::vector<std::string> unflushed_;
    int open_count_{0};
    bool stopping_{false};
    std::thread thread_;
};

peer_client::peer_client(entry_event_sink sink, peer_credentials credentials, hybrid_clock& clock)
    : implementation_(std::make_unique<implementation>(std::move(sink), std::move(credentials), clock))
{
}

peer_client::~peer_client() = default;

void peer_client::connect_to(const std::vector<std::pair<std::string, std::string>>& upstreams)
{
    implementation_->connect_to(upstreams);
}

void peer_client::send(const std::string& vm, const entry_message& message)
{
    implementation_->send(vm, message);
}

void peer_client::flush()
{
    implementation_->flush();
}

void peer_client::stop()
{
    implementation_->stop();
}

} // namespace clementinegap
