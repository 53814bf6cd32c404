#include "adapters/overlay_link.h"

#include "adapters/overlay_codec.h"
#include "adapters/peer_identity.h"
#include "adapters/proto/overlay.grpc.pb.h"
#include "adapters/write_queue.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace clementinegap {
namespace {

constexpr std::size_t max_unsent_bytes = 32U << 20U;
constexpr int max_frame_bytes = 32 << 20;
constexpr int reconnect_initial_ms = 200;
constexpr int reconnect_max_ms = 2000;
constexpr auto reopen_interval = std::chrono::milliseconds(200);
/// The HTTP/2 frame header and the gRPC message prefix.
constexpr std::size_t frame_overhead_bytes = 14;

grpc::ChannelArguments channel_arguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnect_initial_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnect_initial_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnect_max_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(max_frame_bytes);
    return arguments;
}

/// One stream of either direction. Lives until gRPC says that it is done.
class stream {
public:
    stream() : queue_(max_unsent_bytes) {}
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    virtual ~stream() = default;

    /// False when the peer does not read and the bound is passed.
    template <class Add> bool push(std::size_t bytes, Add&& add)
    {
        const std::lock_guard lock(mutex_);
        if (ended_ || !queue_.push(bytes, std::forward<Add>(add))) {
            return ended_;
        }
        write_next();
        return true;
    }
    virtual void cancel() = 0;

protected:
    virtual void start_write(const wire::overlay_frame* frame) = 0;

    void write_next()
    {
        if (const auto* frame = queue_.begin_write()) {
            start_write(frame);
        }
    }
    void written(bool ok)
    {
        const std::lock_guard lock(mutex_);
        queue_.end_write();
        if (ok && !ended_) {
            write_next();
        }
    }
    /// True the first time.
    bool end()
    {
        const std::lock_guard lock(mutex_);
        return !std::exchange(ended_, true);
    }

private:
    std::mutex mutex_;
    write_queue<wire::overlay_frame> queue_;
    bool ended_{false};
};

} // namespace

class overlay_link::implementation final : public wire::overlay::CallbackService {
public:
    implementation(cluster_event_sink sink, std::string vm, std::string address, peer_credentials credentials)
        : sink_(std::move(sink)), vm_(std::move(vm)), address_(std::move(address)),
          credentials_(std::move(credentials)), thread_([this] { keep_open(); })
    {
        if (address_.empty()) {
            address_ = "client:" + vm_;
        }
    }

    outcome<void> listen(const std::string& address)
    {
        int port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, credentials_.for_server(), &port);
        builder.RegisterService(this);
        builder.SetMaxReceiveMessageSize(max_frame_bytes);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        server_ = builder.BuildAndStart();
        if (server_ == nullptr || port == 0) {
            return failure(result_code::invalid_settings, "cannot listen for peers on " + address);
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void maintain_streams(const std::vector<std::string>& addresses)
    {
        const std::lock_guard lock(mutex_);
        wanted_ = {addresses.begin(), addresses.end()};
        for (const auto& [address, dialled] : dialled_) {
            if (dialled.open != nullptr && !wanted_.contains(address)) {
                dialled.open->cancel();
            }
        }
        wakeup_.notify_all();
    }

    void send(const std::string& address, const cluster_message& message)
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(address);
        if (found == streams_.end()) {
            return;
        }
        wire::overlay_message encoded;
        encode(message, encoded);
        push(*found->second.front(), std::move(encoded));
    }

    void stop()
    {
        {
            std::unique_lock lock(mutex_);
            stopping_ = true;
            wanted_.clear();
            for (auto* open : all_) {
                open->cancel();
            }
            wakeup_.notify_all();
            wakeup_.wait(lock, [this] { return all_.empty(); });
        }
        if (thread_.joinable()) {
            thread_.join();
        }
        if (server_ != nullptr) {
            server_->Shutdown(std::chrono::system_clock::now());
            server_->Wait();
            server_.reset();
        }
    }

    grpc::ServerBidiReactor<wire::overlay_frame, wire::overlay_frame>*
    exchange(grpc::CallbackServerContext* context) override
    {
        auto* const opened = new accepted_stream(*this, context);
        opened->begin();
        return opened;
    }

    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }

private:
    class dialled_stream final : public stream,
                                 public grpc::ClientBidiReactor<wire::overlay_frame, wire::overlay_frame> {
    public:
        dialled_stream(implementation& owner, std::string address,
                       const std::shared_ptr<grpc::Channel>& channel)
            : owner_(owner), address_(std::move(address)), stub_(wire::overlay::NewStub(channel))
        {
        }

        /// Ready for the first write; nothing is sent before `begin`.
        void bind()
        {
            stub_->async()->exchange(&context_, this);
            // The hold keeps the call alive while `push` may still start a write.
            AddHold();
        }
        void begin()
        {
            StartRead(&incoming_);
            StartCall();
        }
        void cancel() override { context_.TryCancel(); }
        void OnReadDone(bool ok) override
        {
            if (!ok) {
                if (end()) {
                    context_.TryCancel();
                    RemoveHold();
                }
                return;
            }
            if (!std::exchange(known_, true)) {
                owner_.joined(address_, this);
            }
            owner_.received(address_, incoming_);
            StartRead(&incoming_);
        }
        void OnWriteDone(bool ok) override { written(ok); }
        void OnDone(const grpc::Status& /*status*/) override { owner_.closed(address_, this, true); }

    private:
        void start_write(const wire::overlay_frame* frame) override { StartWrite(frame); }

        implementation& owner_;
        std::string address_;
        std::unique_ptr<wire::overlay::Stub> stub_;
        grpc::ClientContext context_;
        wire::overlay_frame incoming_;
        bool known_{false};
    };

    class accepted_stream final : public stream,
                                  public grpc::ServerBidiReactor<wire::overlay_frame, wire::overlay_frame> {
    public:
        accepted_stream(implementation& owner, grpc::CallbackServerContext* context)
            : owner_(owner), context_(context)
        {
        }

        void begin()
        {
            owner_.opened(this);
            StartRead(&incoming_);
        }
        void cancel() override { context_->TryCancel(); }
        void OnReadDone(bool ok) override
        {
            if (!ok) {
                if (end()) {
                    Finish(grpc::Status::OK);
                }
                return;
            }
            if (address_.empty() && !owner_.introduced(incoming_, *context_, address_)) {
                context_->TryCancel();
                StartRead(&incoming_);
                return;
            }
            if (!std::exchange(known_, true)) {
                owner_.joined(address_, this);
            }
            owner_.received(address_, incoming_);
            StartRead(&incoming_);
        }
        void OnWriteDone(bool ok) override { written(ok); }
        void OnDone() override { owner_.closed(address_, this, false); }

    private:
        void start_write(const wire::overlay_frame* frame) override { StartWrite(frame); }

        implementation& owner_;
        grpc::CallbackServerContext* context_;
        std::string address_;
        wire::overlay_frame incoming_;
        bool known_{false};
    };

    struct dialled {
        std::shared_ptr<grpc::Channel> channel;
        stream* open{nullptr};
    };

    /// Whether the first frame says who the peer is, and its certificate says the same.
    bool introduced(const wire::overlay_frame& frame, const grpc::CallbackServerContext& context,
                    std::string& address) const
    {
        if (frame.messages_size() == 0 || !frame.messages(0).has_hello()) {
            return false;
        }
        const auto identity = credentials_.plain() ? std::nullopt : identity_of(*context.auth_context());
        const bool is_proved =
            credentials_.plain() ||
            (identity && (identity->role == "operator" || identity->vm == frame.messages(0).hello().vm()));
        if (!is_proved) {
            return false;
        }
        address = frame.messages(0).hello().address();
        return !address.empty();
    }

    void push(stream& to, wire::overlay_message message)
    {
        const auto bytes = message.ByteSizeLong();
        bytes_sent_ += bytes + frame_overhead_bytes;
        const bool accepted =
            to.push(bytes, [&](wire::overlay_frame& frame) { frame.add_messages()->Swap(&message); });
        if (!accepted) {
            to.cancel();
        }
    }

    void greet(stream& to)
    {
        wire::overlay_message hello;
        hello.mutable_hello()->set_vm(vm_);
        hello.mutable_hello()->set_address(address_);
        push(to, std::move(hello));
    }

    void opened(stream* accepted)
    {
        const std::lock_guard lock(mutex_);
        all_.insert(accepted);
        if (stopping_) {
            accepted->cancel();
        }
        greet(*accepted);
    }

    void joined(const std::string& address, stream* known)
    {
        bool first = false;
        {
            const std::lock_guard lock(mutex_);
            auto& streams = streams_[address];
            first = streams.empty();
            streams.push_back(known);
        }
        if (first) {
            offer(peer_connected{address});
        }
    }

    void received(const std::string& address, const wire::overlay_frame& frame)
    {
        bytes_received_ += frame.ByteSizeLong() + frame_overhead_bytes;
        for (const auto& message : frame.messages()) {
            if (auto decoded = decode(message)) {
                // Soft state: what finds the ring full is found again by the digests.
                (void)sink_(peer_message_received{address, std::move(*decoded)});
            }
        }
    }

    void closed(const std::string& address, stream* ended, bool was_dialled)
    {
        bool last = false;
        {
            const std::lock_guard lock(mutex_);
            const auto known = streams_.find(address);
            if (known != streams_.end() && std::erase(known->second, ended) > 0 && known->second.empty()) {
                streams_.erase(known);
                last = true;
            }
        }
        if (last) {
            offer(peer_disconnected{address});
        }
        const std::lock_guard lock(mutex_);
        if (was_dialled) {
            dialled_[address].open = nullptr;
        }
        all_.erase(ended);
        delete ended;
        wakeup_.notify_all();
    }

    /// Whether a peer is there must not be lost, so the event is offered until there is room.
    void offer(const cluster_event& event)
    {
        while (!sink_(event)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    void keep_open()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_) {
            for (const auto& address : wanted_) {
                auto& target = dialled_[address];
                if (target.open == nullptr) {
                    dial(address, target);
                }
            }
            std::erase_if(dialled_, [this](const auto& item) {
                return item.second.open == nullptr && !wanted_.contains(item.first);
            });
            wakeup_.wait_for(lock, reopen_interval, [this] { return stopping_; });
        }
    }

    void dial(const std::string& address, dialled& target)
    {
        if (target.channel == nullptr) {
            target.channel =
                grpc::CreateCustomChannel(address, credentials_.for_client(), channel_arguments());
        }
        auto* const opened = new dialled_stream(*this, address, target.channel);
        target.open = opened;
        all_.insert(opened);
        opened->bind();
        greet(*opened);
        opened->begin();
    }

    cluster_event_sink sink_;
    std::string vm_;
    std::string address_;
    peer_credentials credentials_;
    std::unique_ptr<grpc::Server> server_;
    std::mutex mutex_;
    std::condition_variable wakeup_;
    std::set<std::string> wanted_;
    std::map<std::string, dialled> dialled_;
    std::map<std::string, std::vector<stream*>> streams_; ///< Those whose peer is known.
    std::set<stream*> all_;
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    bool stopping_{false};
    std::thread thread_;
};

overlay_link::overlay_link(cluster_event_sink sink, std::string vm, std::string address,
                           peer_credentials credentials)
    : implementation_(std::make_unique<implementation>(std::move(sink), std::move(vm), std::move(address),
                                                       std::move(credentials)))
{
}

overlay_link::~overlay_link()
{
    stop();
}

grpc::Service& overlay_link::service()
{
    return *implementation_;
}

outcome<void> overlay_link::listen(const std::string& address)
{
    return implementation_->listen(address);
}

void overlay_link::maintain_streams(const std::vector<std::string>& addresses)
{
    implementation_->maintain_streams(addresses);
}

void overlay_link::send(const std::string& address, const cluster_message& message)
{
    implementation_->send(address, message);
}

void overlay_link::stop()
{
    implementation_->stop();
}

std::uint64_t overlay_link::bytes_sent() const
{
    return implementation_->bytes_sent();
}

std::uint64_t overlay_link::bytes_received() const
{
    return implementation_->bytes_received();
}

} // namespace clementinegap
