#pragma once

#include "net/http_server_connection.h"
#include "net/tcp_connection.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinegap {

/// Stand-in of the users' platform store: rows with versions, listings, feeds that wait, a history that can
/// be dropped, outages. Runs on the loop of the test.
class routed_store final : public http_server_connection::handler {
public:
    enum class weather : std::uint8_t { fair, busy, dropping, silent };

    explicit routed_store(event_loop& loop);
    bool listen(std::uint16_t port = 0) { return listener_.listen("127.0.0.1", port); }
    std::uint16_t port() const { return listener_.port(); }

    void put(const std::string& table, const std::string& key, const std::string& value);
    void erase(const std::string& table, const std::string& key);
    const std::string* value(const std::string& table, const std::string& key) const;
    /// What happens to calls from now on; those that wait are answered or dropped accordingly.
    void set_weather(weather next);
    /// Never answers the calls that wait for a change of this table.
    void lose_waiting(const std::string& table);
    /// Never answers the calls that wait now.
    void lose_all_waiting() { waiting_.clear(); }
    /// While set, never answers calls that come, as if they were lost; those that wait already stay.
    void swallow_calls(bool swallows) { swallows_calls_ = swallows; }
    /// Keeps a copy of all rows, as a backup does.
    void save_copy() { copy_ = {tables_, history_, version_}; }
    /// Comes back from the copy: later rows are lost, their versions are given out again, and the era in the
    /// headers rises. Calls that wait are dropped.
    void restore_copy();
    /// Forgets all changes so far: feeds from before get 410.
    void forget_history();
    std::size_t calls() const { return calls_; }

private:
    struct stored {
        std::string value;
        std::uint64_t version{0};
        bool deleted{false};
    };
    using table_rows = std::map<std::string, std::map<std::string, stored>>;
    struct change {
        std::string table;
        std::string key;
        stored row;
    };
    struct saved_copy {
        table_rows tables;
        std::vector<change> history;
        std::uint64_t version{0};
    };
    struct waiting {
        http_server_connection* connection{nullptr};
        std::string table;
        std::uint64_t after{0};
    };

    void on_request(http_server_connection& from, http_head head, std::string body) override;
    std::string error_response(int status, std::string_view text) override;
    void on_disconnected(http_server_connection& from) override;
    void on_written(http_server_connection&) override {}
    void reply(http_server_connection& to, int status, const std::string& body);
    std::string changes(const std::string& table, std::uint64_t after) const;
    void answer_waiting();
    void apply(change made);
    /// The row, where it exists.
    const stored* find(const std::string& table, const std::string& key) const;
    /// The current rows of those expected; nothing if all have their expected versions.
    std::string rows_of_failed_condition(const std::string& body) const;
    void transact(http_server_connection& from, const std::string& body);

    event_loop& loop_;
    tcp_listener listener_;
    std::list<std::unique_ptr<http_server_connection>> connections_;
    table_rows tables_;
    std::vector<change> history_; ///< All changes, by version; a feed has each of them.
    saved_copy copy_;
    std::uint64_t era_{1}; ///< Rises when the store comes back from a copy.
    std::vector<waiting> waiting_;
    std::uint64_t version_{1};
    std::uint64_t history_from_{0};
    weather weather_{weather::fair};
    bool swallows_calls_{false};
    std::size_t calls_{0};
};

} // namespace clementinegap
