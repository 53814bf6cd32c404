#include "main/command_order.h"

#include "adapters/http_client.h"
#include "adapters/platform_client.h"
#include "adapters/runtime.h"
#include "cluster/order_core.h"
#include "leases/lease.h"
#include "main/order_service.h"

#include <cstdio>
#include <future>
#include <random>

namespace clementinegap {
namespace {

constexpr duration platform_timeout = seconds(2);
constexpr duration lease_term = seconds(30);
constexpr duration order_timeout = seconds(70);
constexpr const char* usage = "usage: clementinegap order PLATFORM_URL DAEMON_ADMIN_URL VM KIND NAME\n"
                              "kinds: load_model, unload_model, load_adapter, set_version, set_role";

struct read_lease_row {
    bool reached{false};
    std::uint64_t revision{0};
    std::optional<lease_row> row;
};

read_lease_row read_row(platform_client& platform, const std::string& vm)
{
    std::promise<read_result> promise;
    platform.read(lease_table, vm, [&](read_result result) { promise.set_value(std::move(result)); });
    const auto answer = promise.get_future().get();
    read_lease_row result;
    result.reached = answer.result == store_result::done || answer.result == store_result::absent;
    result.revision = answer.row.revision;
    if (answer.result == store_result::done) {
        auto row = lease_from_row(answer.row.value);
        result.reached = row.has_value();
        result.row = row ? std::optional(row.value()) : std::nullopt;
    }
    return result;
}

store_result write_row(platform_client& platform, const std::string& vm, const lease_row& row,
                       std::uint64_t revision)
{
    const auto kind = revision == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    std::promise<transaction_result> promise;
    platform.transact({{kind, lease_table, vm, to_row(row), revision}},
                      [&](transaction_result result) { promise.set_value(std::move(result)); });
    return promise.get_future().get().result;
}

/// Whether the lease was taken; a lost answer is read back.
exit_code acquire(platform_client& platform, const std::string& vm, lease& holder)
{
    const auto present = read_row(platform, vm);
    if (!present.reached) {
        std::fprintf(stderr, "not ordered: the platform's table cannot be reached\n");
        return exit_code::unreachable;
    }
    const auto wanted = holder.acquire(present.row, process_now());
    if (!wanted) {
        std::fprintf(stderr, "not ordered: the lease is held by %s\n", present.row->holder.c_str());
        return exit_code::refused;
    }
    const auto result = write_row(platform, vm, *wanted, present.revision);
    if (result == store_result::done) {
        holder.granted();
    } else if (result == store_result::unknown) {
        holder.read_back(read_row(platform, vm).row);
    } else {
        holder.lost();
    }
    if (!holder.number(process_now())) {
        std::fprintf(stderr, "not ordered: the lease could not be taken\n");
        return exit_code::refused;
    }
    return exit_code::ok;
}

exit_code send_order(const std::string& daemon_url, const json& order)
{
    http_client client;
    http_call call;
    call.method = "POST";
    call.url = daemon_url + "/orders";
    call.body = order.dump();
    call.timeout = order_timeout;
    std::string text;
    std::promise<http_end> promise;
    http_call_events events;
    events.on_bytes = [&](std::string_view bytes) { text.append(bytes); };
    events.on_end = [&](const http_end& end) { promise.set_value(end); };
    client.start(std::move(call), std::move(events));
    const auto end = promise.get_future().get();
    if (end.kind == http_end_kind::not_reached) {
        std::fprintf(stderr, "not ordered: the daemon cannot be reached\n");
        return exit_code::unreachable;
    }
    if (end.kind != http_end_kind::complete) {
        std::fprintf(stderr, "unknown: the daemon's answer was lost; see the engine's models\n");
        return exit_code::unknown;
    }
    std::printf("%s\n", text.c_str());
    const auto body = json::parse(text, nullptr, false);
    const auto code = body.is_object() ? body.value("code", -1) : -1;
    if (code == static_cast<int>(result_code::outcome_unknown)) {
        return exit_code::unknown;
    }
    return code == 0 ? exit_code::ok : exit_code::refused;
}

void release(platform_client& platform, const std::string& vm, const std::string& holder)
{
    auto present = read_row(platform, vm);
    if (present.row && present.row->holder == holder) {
        present.row->holder.clear();
        (void)write_row(platform, vm, *present.row, present.revision);
    }
}

} // namespace

exit_code order_command(const std::vector<std::string>& words)
{
    if (words.size() != 5 || !order_kind_from(words[3])) {
        std::fprintf(stderr, "%s\n", usage);
        return exit_code::usage;
    }
    const auto& vm = words[2];
    std::random_device device;
    const auto name = "command-" + std::to_string(device()) + std::to_string(device());
    platform_client platform(words[0], platform_timeout);
    lease holder(name, lease_term);
    const auto taken = acquire(platform, vm, holder);
    if (taken != exit_code::ok) {
        return taken;
    }
    const auto number = holder.number(process_now()).value_or(0);
    const auto code = send_order(words[1], {{"kind", words[3]}, {"name", words[4]}, {"number", number}});
    release(platform, vm, name);
    return code;
}

} // namespace clementinegap
