#include "adapters/peer_server.h"

#include "adapters/peer_codec.h"
#include "adapters/peer_identity.h"
#include "adapters/peer_stamp.h"
#include "adapters/proto/peer.grpc.pb.h"
#include "adapters/write_queue.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>

namespace clementinegap {
namespace {

constexpr std::size_t max_unsent_bytes = 64U << 20U;
constexpr std::size_t message_overhead_bytes = 64;
constexpr int keepalive_time_ms = 2000;
constexpr int keepalive_timeout_ms = 2000;
constexpr int max_frame_bytes = 64 << 20;

std::size_t size_of(const upstream_message& message)
{
    const auto* chunk = std::get_if<chunk_message>(&message);
    return message_overhead_bytes + (chunk == nullptr ? 0 : chunk->bytes.size());
}

} // namespace

class peer_server::implementation final : public wire::peer::CallbackService {
public:
    implementation(upstream_event_sink sink, peer_credentials credentials, hybrid_clock& clock)
        : sink_(std::move(sink)), credentials_(std::move(credentials)), clock_(clock)
    {
    }

    outcome<void> start(const std::string& address)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, credentials_.for_server(), &port_);
        builder.RegisterService(this);
        if (other_ != nullptr) {
            builder.RegisterService(other_);
        }
        builder.SetMaxReceiveMessageSize(max_frame_bytes);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_time_ms);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                                   keepalive_time_ms / 2);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        server_ = builder.BuildAndStart();
        if (server_ == nullptr || port_ == 0) {
            return failure(result_code::invalid_settings, "cannot listen for peers on " + address);
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void also_serve(grpc::Service& service) { other_ = &service; }

    void stop()
    {
        if (server_ == nullptr) {
            return;
        }
        server_->Shutdown(std::chrono::system_clock::now());
        server_->Wait();
        server_.reset();
    }

    int port() const { return port_; }

    void send(session_id id, const upstream_message& message)
    {
        const std::lock_guard lock(mutex_);
        const auto found = sessions_.find(id);
        if (found != sessions_.end()) {
            found->second->send(message);
            if (std::ranges::find(unflushed_, id) == unflushed_.end()) {
                unflushed_.push_back(id);
            }
        }
    }

    void flush()
    {
        const std::lock_guard lock(mutex_);
        for (const auto id : unflushed_) {
            const auto found = sessions_.find(id);
            if (found != sessions_.end()) {
                found->second->flush();
            }
        }
        unflushed_.clear();
    }

    grpc::ServerBidiReactor<wire::entry_frame, wire::upstream_frame>*
    session(grpc::CallbackServerContext* context) override
    {
        const auto identity = credentials_.plain() ? std::optional(peer_identity{"entry", ""})
                                                   : identity_of(*context->auth_context());
        if (!identity || identity->role != "entry") {
            return new refused_session;
        }
        auto* const opened = new session_reactor(*this, context);
        opened->begin();
        return opened;
    }

private:
    /// Ends the stream of a peer whose certificate is not that of an entry daemon.
    class refused_session final : public grpc::ServerBidiReactor<wire::entry_frame, wire::upstream_frame> {
    public:
        refused_session()
        {
            Finish({grpc::StatusCode::PERMISSION_DENIED, "the certificate is not an entry daemon's"});
        }
        void OnDone() override { delete this; }
    };

    /// One entry daemon's stream; gRPC owns its life and ends it with `OnDone`.
    class session_reactor final : public grpc::ServerBidiReactor<wire::entry_frame, wire::upstream_frame> {
    public:
        session_reactor(implementation& owner, grpc::CallbackServerContext* context)
            : owner_(owner), context_(context), queue_(max_unsent_bytes)
        {
        }

        void begin()
        {
            id_ = owner_.add(this);
            if (!owner_.sink_(entry_connected{id_})) {
                context_->TryCancel();
            }
            StartRead(&incoming_);
        }

        void send(const upstream_message& message)
        {
            const std::lock_guard lock(mutex_);
            if (finished_) {
                return;
            }
            const bool accepted = queue_.push(size_of(message), [&](wire::upstream_frame& frame) {
                encode(message, *frame.add_messages());
            });
            if (!accepted) {
                context_->TryCancel();
            }
        }

        void flush()
        {
            const std::lock_guard lock(mutex_);
            if (!finished_) {
                write_next();
            }
        }

        void OnReadDone(bool ok) override
        {
            if (!ok) {
                finish();
                return;
            }
            witness(incoming_, owner_.clock_);
            for (const auto& message : incoming_.messages()) {
                auto decoded = decode(message);
                // A full ring ends the session: both sides then take the entry as lost, and nothing is
                // dropped unseen.
                if (decoded && !owner_.sink_(entry_message_received{id_, std::move(*decoded)})) {
                    context_->TryCancel();
                }
            }
            StartRead(&incoming_);
        }

        void OnWriteDone(bool ok) override
        {
            const std::lock_guard lock(mutex_);
            queue_.end_write();
            if (ok && !finished_) {
                write_next();
            }
        }

        void OnDone() override
        {
            owner_.remove(id_);
            delete this;
        }

    private:
        void write_next()
        {
            if (auto* frame = queue_.begin_write()) {
                stamp(*frame, owner_.clock_);
                StartWrite(frame);
            }
        }

        void finish()
        {
            const std::lock_guard lock(mutex_);
            if (!std::exchange(finished_, true)) {
                Finish(grpc::Status::OK);
            }
        }

        implementation& owner_;
        grpc::CallbackServerContext* context_;
        session_id id_{0};
        std::mutex mutex_;
        write_queue<wire::upstream_frame> queue_;
        bool finished_{false};
        wire::entry_frame incoming_;
    };

    session_id add(session_reactor* opened)
    {
        const std::lock_guard lock(mutex_);
        const session_id id = ++last_id_;
        sessions_.emplace(id, opened);
        return id;
    }

    void remove(session_id id)
    {
        {
            const std::lock_guard lock(mutex_);
            sessions_.erase(id);
        }
        // Losing this event would leave a dead entry's slots taken, so it is offered until the ring has room.
        while (!sink_(entry_disconnected{id})) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    upstream_event_sink sink_;
    peer_credentials credentials_;
    hybrid_clock& clock_;
    grpc::Service* other_{nullptr};
    std::unique_ptr<grpc::Server> server_;
    int port_{0};
    std::mutex mutex_;
    std::map<session_id, session_reactor*> sessions_;
    std::vector<session_id> unflushed_;
    session_id last_id_{0};
};

peer_server::peer_server(upstream_event_sink sink, peer_credentials credentials, hybrid_clock& clock)
    : implementation_(std::make_unique<implementation>(std::move(sink), std::move(credentials), clock))
{
}

peer_server::~peer_server()
{
    stop();
}

void peer_server::also_serve(grpc::Service& service)
{
    implementation_->also_serve(service);
}

outcome<void> peer_server::start(const std::string& address)
{
    return implementation_->start(address);
}

int peer_server::port() const
{
    return implementation_->port();
}

void peer_server::stop()
{
    implementation_->stop();
}

void peer_server::flush()
{
    implementation_->flush();
}

void peer_server::send(session_id session, const upstream_message& message)
{
    implementation_->send(session, message);
}

} // namespace clementinegap
