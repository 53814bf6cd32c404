#pragma once

#include "net/http_server_connection.h"
#include "net/tcp_connection.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinegap {

/// Stand-in of an upstream on the users' platform: echoes request ids, seals its answers, streams events, and
/// misbehaves as told. Runs on the loop of the test.
class routed_upstream final : public http_server_connection::handler {
public:
    enum class behaviour : std::uint8_t {
        answer,          ///< 200 with a length.
        fail,            ///< A sealed 500.
        refuse,          ///< 503 that says it did not run the request.
        other_instance,  ///< 421.
        no_length,       ///< 200 that ends with its connection.
        no_length_reset, ///< The same, but reset in the middle.
        lose,            ///< Closes without an answer.
        truncate,        ///< Closes before the promised length.
        garbage,         ///< Bytes that are no answer.
        unsealed,        ///< 200 without a seal.
        wrong_id_first,  ///< An answer to another request before the right one.
        extra_answer,    ///< A second answer after the right one.
        hang,            ///< No answer.
        stream,          ///< A whole event stream.
        stream_broken,   ///< A stream that ends in the middle of its third event.
        stream_unframed, ///< A whole stream without a length or chunks, which ends with its connection.
        stream_unframed_broken, ///< The same, closed in the middle of its third event.
        stream_unframed_open,   ///< The first event of such a stream, and nothing more.
        no_length_open,         ///< Two megabytes of a 200 without a length, and nothing more.
        long_answer,            ///< 200 with a body of `long_answer_bytes`.
        late_copy,    ///< 200, and a copy of it at the connection's next request, before that one's answer.
        late_refusal, ///< 503 that it did not run, and a copy of it at the connection's next request.
        late_anonymous_refusal, ///< The same without the id of the request.
        partial_head,           ///< Closes in the middle of the head of a 200.
        trickle,       ///< The head of a stream, then a byte of its first event now and then, for ever.
        ask_for_pause, ///< 503 that it did not run, with the pause that was set.
    };

    struct seen_request {
        http_head head;
        std::string body;
    };

    explicit routed_upstream(event_loop& loop);
    bool listen(std::uint16_t port = 0) { return listener_.listen("127.0.0.1", port); }
    std::uint16_t port() const { return listener_.port(); }
    /// Answers take this long, and so does each event of a stream; `advance` is then to be called often.
    void set_pace(duration pace) { pace_ = pace; }
    void advance(time_point now);
    /// Called with the id and path of each request that begins to run.
    void on_run(std::function<void(const std::string& id, const std::string& path)> report)
    {
        report_ = std::move(report);
    }
    /// Called with the id of each request that is refused with a pause, and its length.
    void on_refusal(std::function<void(const std::string& id, duration pause)> report)
    {
        refusal_ = std::move(report);
    }
    /// Calls `crash` with the id of each request that holds this part before the last of its prompt.
    void crash_on(std::string part, std::function<void(const std::string& id)> crash)
    {
        deadly_part_ = std::move(part);
        crash_ = std::move(crash);
    }
    /// Says in every answer that it is leaving.
    void begin_to_leave() { notices_ += "Server-Leaving: 1\r\n"; }
    /// The version of its software, which its events name.
    void set_version(std::string value) { version_ = std::move(value); }
    /// Names this limit of requests per second in every answer; empty: none.
    void name_limit(std::string per_second) { limit_ = std::move(per_second); }
    /// Adds a header to every answer.
    void add_header(const std::string& line) { notices_ += line + "\r\n"; }
    /// The value of `Retry-After` of `ask_for_pause`.
    void set_pause(std::string value) { pause_ = std::move(value); }
    /// Until then all requests are refused, each with a pause to that time.
    void refuse_until(time_point end) { refuse_until_ = end; }
    bool leaving() const { return !notices_.empty(); }
    /// The behaviours of the next requests; `answer`, or `stream` for streams, when none is left.
    void script(std::deque<behaviour> next) { script_ = std::move(next); }
    const std::vector<seen_request>& seen() const { return seen_; }
    /// Requests whose caller closed its connection before the answer.
    std::size_t abandoned() const { return abandoned_; }
    /// Connections that were opened to it.
    std::size_t connections() const { return connection_count_; }
    void clear() { seen_.clear(); }

    static constexpr int stream_events = 5;
    static constexpr std::size_t long_answer_bytes = std::size_t{2} << 20U;

private:
    void on_request(http_server_connection& from, http_head head, std::string body) override;
    std::string error_response(int status, std::string_view text) override;
    void on_disconnected(http_server_connection& from) override;
    void on_written(http_server_connection&) override {}
    void stream_from(http_server_connection& to, const std::string& id, int first_event, bool broken);
    void stream_unframed_from(http_server_connection& to, const std::string& id, int first_event,
                              bool broken);

    /// A paced answer on its way.
    struct paced_answer {
        http_server_connection* to{nullptr};
        std::string id;
        int next_event{0}; ///< 0: an answer that is not a stream.
        time_point due;
    };

    event_loop& loop_;
    tcp_listener listener_;
    std::string event_text(int event) const;
    std::string head_of(int status, const std::string& id, const std::string& more) const;
    std::string whole(int status, const std::string& id, const std::string& more) const;

    duration pace_{0};
    std::string notices_; ///< Header lines of every answer.
    std::string version_; ///< Empty: its events name none.
    std::string limit_;   ///< The value of `Server-Limit`; empty: none.
    std::string pause_{"1"};
    time_point refuse_until_{};
    std::vector<paced_answer> paced_;
    std::function<void(const std::string&, const std::string&)> report_{
        [](const std::string&, const std::string&) {}};
    std::string deadly_part_; ///< Empty: none.
    std::function<void(const std::string&)> crash_;
    std::function<void(const std::string&, duration)> refusal_{[](const std::string&, duration) {}};
    std::list<std::unique_ptr<http_server_connection>> connections_;
    std::vector<http_server_connection*> hanging_;
    std::vector<http_server_connection*> trickling_;
    std::map<http_server_connection*, std::string> late_copies_;
    std::deque<behaviour> script_;
    std::vector<seen_request> seen_;
    std::size_t abandoned_{0};
    std::size_t connection_count_{0};
};

} // namespace clementinegap
