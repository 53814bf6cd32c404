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

/// One request on its way through the daemon: its caller, the current send, and the answer as it passes. It
/// carries out the router's orders and tells it what happens; it decides nothing.
class exchange final : public http_client_connection::exchange {
public:
    /// What an exchange needs of the daemon.
    class owner {
    public:
        owner() = default;
        owner(const owner&) = delete;
        owner& operator=(const owner&) = delete;
        virtual ~owner() = default;
        virtual void post(router_event event) = 0;
        virtual upstream_pool& pool() = 0;
        virtual bool stopping() const = 0;
        /// The answer is over, the exchange can be destroyed later.
        virtual void exchange_ended(request_number number) = 0;
    };

    exchange(owner& by, http_server_connection& caller, request_number number, std::string id, http_head head,
             std::string body);

    void send(const send_request& order);
    void stop_send();
    /// Takes back a send to this upstream that has no connection yet.
    void recall_unsent(std::string_view upstream);
    void answer(const respond_to_caller& order);
    void pass_failure();
    void cut();
    /// The caller's connection is gone.
    void caller_gone() { caller_ = nullptr; }
    /// The caller takes bytes again.
    void caller_drained();

private:
    /// An answer that is not a stream is held until it is whole, up to this size.
    static constexpr std::size_t most_held_bytes = std::size_t{1} << 20U;
    /// Of an answer that is of no use: enough to find its end and keep the connection.
    static constexpr std::size_t most_ignored_bytes = std::size_t{64} * 1024;
    /// Of one event of a stream; a long text in one event has some 100 kB.
    static constexpr std::size_t largest_event_bytes = std::size_t{1} << 20U;
    /// Unsent bytes to a caller above which its upstream is not read.
    static constexpr std::size_t most_unwritten_bytes = std::size_t{256} * 1024;

    http_client_connection::head_verdict on_response_head(const http_head& head) override;
    void on_response_bytes(std::string_view bytes) override;
    void on_response_end(bool reusable) override;
    void on_exchange_failed(const exchange_failure& why) override;

    bool is_success() const { return answer_.status >= 200 && answer_.status < 300; }
    void begin_streaming();
    void write_part(std::string_view bytes);
    /// The caller has the head of the answer: tells the router, once for each send.
    void note_first_bytes();
    /// Gives up an answer with a fault before its end.
    void end_useless_answer();
    /// Stops reading the answer while its caller takes none of it.
    void hold_back();
    void pass_events(std::string events);
    void pass_held();
    void end_caller(bool close);
    void report_fault(send_fault fault);

    owner& by_;
    http_server_connection* caller_;
    request_number number_;
    std::string id_;
    http_head head_;
    std::string body_;
    bool close_after_{false};

    send_request order_;
    connection_ptr connection_;
    http_head answer_head_;  ///< Of the answer that is held back.
    upstream_answer answer_; ///< Of the current send.
    std::optional<send_fault> fault_;
    std::size_t ignored_bytes_{0}; ///< Of an answer with a fault.
    std::string held_;
    event_splitter events_;
    body_framing framing_{body_framing::chunked}; ///< Of an answer whose head the caller has.
    bool unframed_{false};                        ///< The current answer ends with its connection.
    bool begun_{false};                           ///< The caller has the head of an answer.
    bool first_event_{false};
};

} // namespace clementinegap
