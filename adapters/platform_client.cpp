#include "adapters/platform_client.h"

#include "adapters/runtime.h"

#include <memory>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_not_found = 404;
constexpr std::uint16_t http_conflict = 409;
constexpr std::uint16_t http_unavailable = 503;

std::string_view word_of(table_operation::kind kind)
{
    switch (kind) {
    case table_operation::kind::insert:
        return "insert";
    case table_operation::kind::replace:
        return "replace";
    case table_operation::kind::erase:
        return "erase";
    case table_operation::kind::check:
        break;
    }
    return "check";
}

json to_json(const table_operation& operation)
{
    json result{
        {"kind", std::string(word_of(operation.what))}, {"table", operation.table}, {"key", operation.key}};
    if (operation.what == table_operation::kind::insert || operation.what == table_operation::kind::replace) {
        result["value"] = operation.value;
    }
    if (operation.what != table_operation::kind::insert) {
        result["revision"] = operation.revision;
    }
    return result;
}

table_row row_from(const json& value)
{
    return {value.value("key", ""), value.value("value", ""), value.value("revision", std::uint64_t{0})};
}

std::vector<table_row> rows_from(const json& body, const char* name)
{
    std::vector<table_row> rows;
    if (body.is_object() && body.contains(name) && body[name].is_array()) {
        for (const auto& item : body[name]) {
            rows.push_back(row_from(item));
        }
    }
    return rows;
}

/// What an answer other than the expected ones means for a change.
store_result result_of(const http_end& end)
{
    if (end.kind == http_end_kind::not_reached || end.status == http_unavailable) {
        return store_result::unavailable;
    }
    return store_result::unknown;
}

} // namespace

platform_client::platform_client(std::string base_url, duration timeout)
    : base_url_(std::move(base_url)), timeout_(timeout)
{
}

void platform_client::post(const std::string& method, const std::string& path, const json& body,
                           std::function<void(reply)> done)
{
    http_call call;
    call.method = method;
    call.url = base_url_ + path;
    call.timeout = timeout_;
    if (method != "GET") {
        call.headers = {"Content-Type: application/json"};
        call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    auto received = std::make_shared<std::string>();
    http_call_events events;
    events.on_bytes = [received](std::string_view bytes) { received->append(bytes); };
    events.on_end = [this, received, path, began = process_now(),
                     done = std::move(done)](const http_end& end) {
        if (observer_) {
            const bool answered = end.kind == http_end_kind::complete && end.status != http_unavailable;
            observer_(std::string_view(path).substr(path.rfind('/') + 1), process_now() - began, answered);
        }
        done({end, json::parse(*received, nullptr, false)});
    };
    client_.start(std::move(call), std::move(events));
}

void platform_client::transact(std::vector<table_operation> operations,
                               std::function<void(transaction_result)> done)
{
    json body{{"operations", json::array()}};
    for (const auto& operation : operations) {
        body["operations"].push_back(to_json(operation));
    }
    post("POST", "/v1/tables/transact", body, [done = std::move(done)](const reply& answer) {
        transaction_result result;
        const bool whole = answer.end.kind == http_end_kind::complete && answer.body.is_object();
        if (whole && answer.end.status == http_ok) {
            result.revision = answer.body.value("revision", std::uint64_t{0});
        } else if (whole && answer.end.status == http_conflict) {
            result.result = store_result::exists;
            result.conflicts = rows_from(answer.body, "conflicts");
        } else {
            result.result = result_of(answer.end);
        }
        done(std::move(result));
    });
}

void platform_client::read(const std::string& table, const std::string& key,
                           std::function<void(read_result)> done)
{
    post("POST", "/v1/tables/read", {{"table", table}, {"key", key}},
         [done = std::move(done)](const reply& answer) {
             read_result result;
             const bool whole = answer.end.kind == http_end_kind::complete && answer.body.is_object();
             if (whole && answer.end.status == http_ok) {
                 result.row = row_from(answer.body);
             } else if (whole && answer.end.status == http_not_found) {
                 result.result = store_result::absent;
             } else {
                 result.result = store_result::unavailable;
             }
             done(std::move(result));
         });
}

void platform_client::scan(const std::string& table, const std::string& prefix,
                           std::function<void(scan_result)> done)
{
    post("POST", "/v1/tables/scan", {{"table", table}, {"prefix", prefix}},
         [done = std::move(done)](const reply& answer) {
             scan_result result;
             if (answer.end.kind == http_end_kind::complete && answer.end.status == http_ok) {
                 result.rows = rows_from(answer.body, "rows");
             } else {
                 result.result = store_result::unavailable;
             }
             done(std::move(result));
         });
}

void platform_client::list_vms(std::function<void(std::optional<std::vector<listed_vm>>)> done)
{
    post("GET", "/v1/vms", {}, [done = std::move(done)](const reply& answer) {
        const bool whole = answer.end.kind == http_end_kind::complete && answer.end.status == http_ok &&
                           answer.body.is_object() && answer.body.contains("vms") &&
                           answer.body["vms"].is_array();
        if (!whole) {
            done(std::nullopt);
            return;
        }
        std::vector<listed_vm> vms;
        for (const auto& item : answer.body["vms"]) {
            vms.push_back({item.value("name", ""), item.value("role", ""), item.value("zone", ""),
                           item.value("region", ""), item.value("address", ""),
                           item.value("state", "") == "leaving", item.value("admin", "")});
        }
        done(std::move(vms));
    });
}

} // namespace clementinegap
