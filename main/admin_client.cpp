#include "main/admin_client.h"

#include "adapters/platform_client.h"

#include <future>
#include <memory>
#include <optional>

namespace clementinegap {
namespace {

constexpr duration admin_timeout = seconds(5);

std::optional<std::vector<listed_vm>> list_vms(const std::string& platform_url)
{
    platform_client platform(platform_url, admin_timeout);
    std::promise<std::optional<std::vector<listed_vm>>> promise;
    platform.list_vms([&](std::optional<std::vector<listed_vm>> vms) { promise.set_value(std::move(vms)); });
    return promise.get_future().get();
}

} // namespace

outcome<std::vector<admin_target>> admin_client::targets(const parsed_words& words)
{
    std::vector<admin_target> result;
    for (const auto& url : words.values("admin")) {
        result.push_back({"", "", "", "", url.starts_with("http") ? url : "http://" + url, false});
    }
    if (words.has("platform")) {
        const auto vms = list_vms(words.value("platform"));
        if (!vms) {
            return failure(result_code::store_unavailable, "the platform's VM list cannot be read");
        }
        for (const auto& vm : *vms) {
            result.push_back({vm.name, vm.role, vm.zone, vm.region,
                              vm.admin.empty() ? "" : "http://" + vm.admin, vm.leaving});
        }
    }
    if (result.empty()) {
        return failure(result_code::invalid_settings, "give --platform URL or --admin URL");
    }
    return result;
}

std::vector<admin_answer> admin_client::ask(const std::vector<admin_target>& targets, std::string_view path,
                                            std::string_view method)
{
    std::vector<std::future<admin_answer>> pending;
    for (const auto& target : targets) {
        auto promise = std::make_shared<std::promise<admin_answer>>();
        pending.push_back(promise->get_future());
        if (target.url.empty()) {
            promise->set_value({});
            continue;
        }
        http_call call;
        call.method = std::string(method);
        call.url = target.url + std::string(path);
        call.timeout = admin_timeout;
        auto received = std::make_shared<std::string>();
        http_call_events events;
        events.on_bytes = [received](std::string_view bytes) { received->append(bytes); };
        events.on_end = [received, promise](const http_end& end) {
            const bool whole = end.kind == http_end_kind::complete;
            promise->set_value(whole ? admin_answer{end.status, std::move(*received)} : admin_answer{});
        };
        client_.start(std::move(call), std::move(events));
    }
    std::vector<admin_answer> answers;
    answers.reserve(pending.size());
    for (auto& answer : pending) {
        answers.push_back(answer.get());
    }
    return answers;
}

} // namespace clementinegap
