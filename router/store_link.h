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

/// Reads one table from the platform's store or from a relay, which is a daemon that reads the store. Makes
/// the calls that its follower requests.
class table_reader final : private http_client_connection::exchange {
public:
    using callback = std::function<void(table_follower::progress)>;
    /// The result of a call.
    struct call_result {
        bool succeeded{false};
        bool from_relay{false}; ///< The call went to a relay instead of the store.
        std::string error;      ///< For the log; empty on success.
    };
    using result_callback = std::function<void(const call_result&)>;

    table_reader(event_loop& loop, endpoint store, table_follower follower, callback on_progress,
                 result_callback on_result);
    ~table_reader() override;
    table_reader(const table_reader&) = delete;
    table_reader& operator=(const table_reader&) = delete;

    /// Starts the next call when it is due and aborts a call that has timed out.
    void run(time_point now);
    /// Changes the store's address; a call in progress is aborted.
    void set_store(endpoint store);
    /// Sets the relay to read from; `nullopt`: the store. A change aborts a call in progress.
    void read_from(const std::optional<endpoint>& relay);
    /// The store is in this era, as another reader found. A call that waits for a change might not show it
    /// for long.
    void on_era(std::uint64_t era);
    /// There may be changes that a call in progress does not show, for example since the store has lost it.
    /// The store is asked without waiting for a change.
    void ask_at_once();
    /// The store answered another daemon at this time. A call that should have been answered too has failed.
    void on_store_answered(time_point at);
    /// Limits how long calls wait for a change.
    void set_longest_wait(duration wait) { follower_.set_longest_wait(wait); }
    bool reads_store() const { return !relay_; }
    /// When `run` must be called next.
    time_point due() const { return follower_.due(); }

private:
    /// A page of the store holds up to 1 MB of rows and a relay's page a whole table; a response beyond this
    /// limit is taken to be endless.
    static constexpr std::size_t max_response_bytes = std::size_t{16} << 20U;

    http_client_connection::head_verdict on_response_head(const http_head& head) override;
    void on_response_bytes(std::string_view bytes) override;
    void on_response_end(bool reusable) override;
    void on_exchange_failed(const exchange_failure& error) override;
    void drop_connection();
    void abort_call();
    void on_call_failed(read_result result, time_point now, const std::string& error);
    void report(table_follower::progress progress);

    event_loop& loop_;
    endpoint store_;
    std::optional<endpoint> relay_;
    table_follower follower_;
    callback on_progress_;
    result_callback on_result_;
    bool store_call_failed_{false}; ///< Then the next call does not wait for a change.
    std::shared_ptr<http_client_connection> connection_;
    std::shared_ptr<http_client_connection> retired_;
    int status_{0};
    std::optional<std::uint64_t> era_; ///< Of the current response, if its head names one.
    std::string body_;
};

/// Writes or removes one row of the store and retries until that succeeds.
class row_writer final : private http_client_connection::exchange {
public:
    /// \param value nothing removes the row.
    row_writer(event_loop& loop, endpoint store, std::string_view table, std::string_view key,
               const std::optional<std::string>& value);
    ~row_writer() override;
    row_writer(const row_writer&) = delete;
    row_writer& operator=(const row_writer&) = delete;
    void run(time_point now);
    time_point due() const { return written_ ? never : next_attempt_at_; }
    /// Rows of its table were read. If the store has lost the written row, it is written again.
    void on_rows(const table_follower::progress& read);
    bool done() const { return written_ && !connection_; }

private:
    static constexpr duration retry_delay = milliseconds(1500);
    static constexpr duration call_timeout = seconds(3);

    http_client_connection::head_verdict on_response_head(const http_head& head) override;
    void on_response_bytes(std::string_view) override {}
    void on_response_end(bool reusable) override;
    void on_exchange_failed(const exchange_failure& error) override;

    event_loop& loop_;
    endpoint store_;
    std::string key_;
    std::string request_;
    std::shared_ptr<http_client_connection> connection_;
    std::shared_ptr<http_client_connection> retired_;
    time_point next_attempt_at_{};
    int status_{0};
    bool written_{false};
};

} // namespace clementinegap
