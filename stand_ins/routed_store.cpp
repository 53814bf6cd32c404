#include "stand_ins/routed_store.h"

#include "core/base64.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace clementinegap {
namespace {

using nlohmann::json;

/// The value of a parameter of a target's query; empty without one.
std::string parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

} // namespace

routed_store::routed_store(event_loop& loop)
    : loop_(loop), listener_(loop, [this](uv_stream_t* listening) {
          auto connection = std::make_unique<http_server_connection>(loop_, *this, server_limits{});
          if (connection->accept(listening, keepalive_limits{})) {
              connections_.push_back(std::move(connection));
          }
      })
{
}

void routed_store::put(const std::string& table, const std::string& key, const std::string& value)
{
    apply({table, key, {value, ++version_, false}});
    answer_waiting();
}

void routed_store::erase(const std::string& table, const std::string& key)
{
    apply({table, key, {"", ++version_, true}});
    answer_waiting();
}

void routed_store::apply(change made)
{
    tables_[made.table][made.key] = made.row;
    history_.push_back(std::move(made));
}

const routed_store::stored* routed_store::find(const std::string& table, const std::string& key) const
{
    const auto rows = tables_.find(table);
    if (rows == tables_.end()) {
        return nullptr;
    }
    const auto row = rows->second.find(key);
    return row == rows->second.end() || row->second.deleted ? nullptr : &row->second;
}

const std::string* routed_store::value(const std::string& table, const std::string& key) const
{
    const auto* row = find(table, key);
    return row == nullptr ? nullptr : &row->value;
}

std::string routed_store::rows_of_failed_condition(const std::string& body) const
{
    json rows = json::array();
    bool has_failed = false;
    for (const auto& each : json::parse(body).value("expected", json::array())) {
        const auto table = each.at("table").get<std::string>();
        const auto key = each.at("key").get<std::string>();
        const auto* row = find(table, key);
        has_failed = has_failed || each.at("ver").get<std::uint64_t>() != (row == nullptr ? 0 : row->version);
        if (row != nullptr) {
            rows.push_back({{"table", table},
                            {"part", ""},
                            {"key", key},
                            {"ver", row->version},
                            {"value", base64_encode(row->value)}});
        }
    }
    return has_failed ? json{{"rows", std::move(rows)}, {"ver", version_}, {"now_ms", 1}}.dump() : "";
}

void routed_store::set_weather(weather next)
{
    weather_ = next;
    if (next == weather::fair) {
        return;
    }
    const auto held = std::move(waiting_);
    waiting_.clear();
    for (const auto& each : held) {
        if (next == weather::dropping) {
            each.connection->abort();
        } else if (next == weather::busy) {
            reply(*each.connection, 503, "{}");
        }
    }
}

void routed_store::lose_waiting(const std::string& table)
{
    std::erase_if(waiting_, [&](const waiting& each) { return each.table == table; });
}

void routed_store::restore_copy()
{
    tables_ = copy_.tables;
    history_ = copy_.history;
    version_ = copy_.version;
    history_from_ = std::min(history_from_, version_);
    ++era_;
    for (const auto& each : std::exchange(waiting_, {})) {
        each.connection->abort();
    }
}

void routed_store::forget_history()
{
    history_from_ = version_;
}

void routed_store::reply(http_server_connection& to, int status, const std::string& body)
{
    to.write("HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\nStore-Era: " +
             std::to_string(era_) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    to.end_response(false);
}

std::string routed_store::changes(const std::string& table, std::uint64_t after) const
{
    json rows = json::array();
    for (const auto& [changed, key, row] : history_) {
        if (changed != table || row.version <= after) {
            continue;
        }
        json entry = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
        if (row.deleted) {
            entry["deleted"] = true;
        } else {
            entry["value"] = base64_encode(row.value);
        }
        rows.push_back(std::move(entry));
    }
    if (rows.empty()) {
        return {};
    }
    return json{{"rows", std::move(rows)}, {"ver", version_}, {"now_ms", 1}}.dump();
}

void routed_store::answer_waiting()
{
    if (weather_ != weather::fair) {
        return;
    }
    const auto held = std::move(waiting_);
    waiting_.clear();
    for (const auto& each : held) {
        const auto body = changes(each.table, each.after);
        if (body.empty()) {
            waiting_.push_back(each);
        } else {
            reply(*each.connection, 200, body);
        }
    }
}

void routed_store::on_request(http_server_connection& from, http_head head, std::string body)
{
    ++calls_;
    if (weather_ == weather::busy) {
        reply(from, 503, "{}");
        return;
    }
    if (weather_ == weather::dropping) {
        from.abort();
        return;
    }
    if (weather_ == weather::silent || swallows_calls_) {
        return;
    }
    const auto table = parameter(head.target, "table");
    if (head.target.starts_with("/clementinegap/rows-get")) {
        json rows = json::array();
        for (const auto& [key, row] : tables_[table]) {
            if (!row.deleted) {
                rows.push_back({{"table", table},
                                {"part", ""},
                                {"key", key},
                                {"ver", row.version},
                                {"value", base64_encode(row.value)}});
            }
        }
        reply(from, 200, json{{"rows", rows}, {"has_more", false}, {"ver", version_}, {"now_ms", 1}}.dump());
        return;
    }
    if (head.target.starts_with("/clementinegap/rows-feed")) {
        const auto after = std::stoull(parameter(head.target, "since_rev"));
        if (after < history_from_ || after > version_) {
            reply(from, 410, "{}");
            return;
        }
        if (parameter(head.target, "wait_ms") == "0") {
            const auto page = changes(table, after);
            const json nothing{{"rows", json::array()}, {"ver", version_}, {"now_ms", 1}};
            reply(from, 200, page.empty() ? nothing.dump() : page);
            return;
        }
        waiting_.push_back({&from, table, after});
        answer_waiting();
        return;
    }
    if (head.target.starts_with("/clementinegap/rows-tx")) {
        transact(from, body);
        return;
    }
    reply(from, 404, "{}");
}

void routed_store::transact(http_server_connection& from, const std::string& body)
{
    const auto document = json::parse(body, nullptr, false);
    if (document.is_discarded()) {
        reply(from, 400, "{}");
        return;
    }
    if (const auto rows = rows_of_failed_condition(body); !rows.empty()) {
        reply(from, 412, rows);
        return;
    }
    for (const auto& each : document.at("set_keys")) {
        const auto value = base64_decode(each.at("value").get<std::string>());
        apply({each.at("table").get<std::string>(),
               each.at("key").get<std::string>(),
               {value.value_or(""), ++version_, false}});
    }
    for (const auto& each : document.at("remove")) {
        apply(
            {each.at("table").get<std::string>(), each.at("key").get<std::string>(), {"", ++version_, true}});
    }
    reply(from, 200, json{{"ver", version_}, {"now_ms", 1}}.dump());
    answer_waiting();
}

std::string routed_store::error_response(int status, std::string_view)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

void routed_store::on_disconnected(http_server_connection& from)
{
    std::erase_if(waiting_, [&](const waiting& each) { return each.connection == &from; });
}

} // namespace clementinegap
