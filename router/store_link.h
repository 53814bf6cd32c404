#pragma once

#include "net/http_client_connection.h"
#include "platform/store_messages.h"
#include "routing/table_follower.h"
#include "routing/upstream_record.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementinegap {

/// Reads one table of the platform's store, or of a daemon that reads the store: makes the calls that its
/// follower asks for.
class table_reader final : private http_client_connection::exchange {
public:
    using callback = std::function<void(table_follower::progress)>;
    /// How a call ended.
    struct outcome {
        bool answered{false};
        bool from_relay{false}; ///< It was made to a relay and not to the store.
        std::string why;        ///< Of a call without a usable answer, for the log.
    };
    using outcome_callback = std::function<void(const outcome&)>;

    table_reader(event_loop& loop, endpoint store, table_follower follower, callback on_progress,
                 outcome_callback on_outcome);
    ~table_reader() override;
    table_reader(const table_reader&) = delete;
    table_reader& operator=(const table_reader&) = delete;

    /// Makes the next call when it is due, gives up one that has lasted too long.
    void run(time_point now);
    /// Calls another address from the next call on.
    void set_store(endpoint store);
    /// Reads from another daemon from now on; nothing: from the store.
    void read_from(const std::optional<endpoint>& relay);
    /// When `run` is due.
    time_point due() const;

private:
    /// A call that has had no answer for this long beyond its own wait has none to come.
    static constexpr duration answer_timeout = milliseconds(2500);
    /// A page of the store holds 1 MB of rows, a relay's a whole table; an answer beyond this has no end.
    static constexpr std::size_t largest_answer_bytes = std::size_t{16} << 20U;

    http_client_connection::head_verdict on_response_head(const http_head& head) override;
    void on_response_bytes(std::string_view bytes) override;
    void on_response_end(bool reusable) override;
    void on_exchange_failed(const exchange_failure& why) override;
    void drop_connection();
    void call_failed(time_point now, const std::string& why);
    void report(table_follower::progress progress);

    event_loop& loop_;
    endpoint store_;
    std::optional<endpoint> relay_;
    table_follower follower_;
    callback on_progress_;
    outcome_callback on_outcome_;
    bool store_in_doubt_{false}; ///< Its last call failed, so the next one must not wait for a change.
    std::shared_ptr<http_client_connection> connection_;
    std::shared_ptr<http_client_connection> retired_;
    bool under_way_{false};
    time_point give_up_at_{never};
    int status_{0};
    std::string body_;
};

/// Writes one row of the store and tries again until it is there.
class row_writer final : private http_client_connection::exchange {
public:
    row_writer(event_loop& loop, endpoint store, std::string table, std::string key, std::string value);
    ~row_writer() override;
    row_writer(const row_writer&) = delete;
    row_writer& operator=(const row_writer&) = delete;
    void run(time_point now);
    time_point due() const { return done_ ? never : next_at_; }

private:
    static constexpr duration retry_pause = milliseconds(1500);
    static constexpr duration call_timeout = seconds(3);

    http_client_connection::head_verdict on_response_head(const http_head& head) override;
    void on_response_bytes(std::string_view) override {}
    void on_response_end(bool reusable) override;
    void on_exchange_failed(const exchange_failure& why) override;

    event_loop& loop_;
    endpoint store_;
    std::string request_;
    std::shared_ptr<http_client_connection> connection_;
    std::shared_ptr<http_client_connection> retired_;
    time_point next_at_{};
    int status_{0};
    bool done_{false};
};

} // namespace clementinegap
