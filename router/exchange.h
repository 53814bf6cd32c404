#pragma once

#include "net/http_client_connection.h"
#include "net/http_server_connection.h"
#include "platform/message_translation.h"
#include "router/event_splitter.h"
#include "router/upstream_pool.h"
#include "routing/router_events.h"

#include <functional>
#include <string>

namespace clementinegap {

/// One HTTP exchange that is proxied through the daemon: the caller's request, the current send to an
/// upstream and the response. Executes the router's actions and reports events to the router; makes no
/// routing decisions itself.
class exchange final : public http_client_connection::exchange {
public:
    /// What an exchange uses of its gateway.
    class gateway_interface {
    public:
        gateway_interface() = default;
        gateway_interface(const gateway_interface&) = delete;
        gateway_interface& operator=(const gateway_interface&) = delete;
        virtual ~gateway_interface() = default;
        virtual void post(router_event event) = 0;
        virtual upstream_pool& pool() = 0;
        virtual bool stopping() const = 0;
        /// What all connections and exchanges hold.
        virtual byte_budget& buffers() = 0;
        /// The response has ended. The exchange must not be destroyed within this call.
        virtual void exchange_finished(request_number number) = 0;
    };

    exchange(gateway_interface& gateway, http_server_connection& caller, request_number number,
             std::string id, http_head head, std::string body);

    void send(const send_request& action);
    void stop_send();
    /// Cancels the send if it goes to this upstream and its connection is not established yet.
    void recall_unsent(std::string_view upstream);
    void respond(const respond_to_caller& action);
    void pass_failure();
    void abort_caller();
    /// The caller's connection has been closed.
    void caller_disconnected() { caller_ = nullptr; }
    /// Reading from the upstream resumes if the caller has taken enough of what is queued for it.
    void resume_reading();

private:
    /// What a request takes in addition to its head and bodies, here and in the router, about.
    static constexpr std::size_t request_bytes = std::size_t{2} * 1024;
    /// A response that is not a stream is buffered until it is complete, up to this size.
    static constexpr std::size_t max_buffered_bytes = std::size_t{1} << 20U;
    /// Bytes read of an invalid response: enough to reach the end of a short one and reuse the connection.
    static constexpr std::size_t max_discarded_bytes = std::size_t{64} * 1024;
    /// Size limit for one event of a stream; a long text in a single event has about 100 kB.
    static constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;
    /// The same while the budget for buffered bytes is used up.
    static constexpr std::size_t max_event_bytes_without_room = std::size_t{128} * 1024;

    http_client_connection::head_verdict on_response_head(const http_head& head) override;
    void on_response_bytes(std::string_view bytes) override;
    void on_response_end(bool reusable) override;
    void on_exchange_failed(const exchange_failure& why) override;

    bool is_success() const { return response_.status >= 200 && response_.status < 300; }
    void start_response();
    void write_body(std::string_view bytes);
    /// Reports to the router, once per send, that the first bytes of the response reached the caller.
    void report_first_bytes();
    /// Closes the connection of an invalid response before its end and reports the fault.
    void abort_invalid_response();
    /// Pauses reading from the upstream while the caller does not accept data.
    void apply_backpressure();
    bool caller_is_behind() const;
    void forward_events(std::string events);
    void deliver_response();
    void finish(bool close);
    void report_fault(send_fault fault);
    void count_held();
    bool event_is_too_long() const;

    gateway_interface& gateway_;
    byte_reservation held_;
    http_server_connection* caller_;
    request_number number_;
    std::string id_;
    http_head head_;
    std::size_t head_bytes_; ///< Memory of `head_`.
    std::string body_;
    bool close_after_{false};

    send_request current_send_;
    connection_ptr connection_;
    http_head response_head_;  ///< Of the buffered response.
    upstream_answer response_; ///< Of the current send.
    std::optional<send_fault> fault_;
    std::size_t discarded_bytes_{0}; ///< Of an invalid response.
    std::string buffered_body_;
    event_splitter events_;
    body_framing framing_{body_framing::chunked}; ///< Of the response whose head was sent to the caller.
    bool unframed_{false};                        ///< The current response ends with its connection.
    bool response_started_{false};                ///< The head of a response was sent to the caller.
    bool first_bytes_reported_{false};
};

} // namespace clementinegap
