#include "experiment/load_generator.h"

#include "adapters/event_stream_scanner.h"
#include "core/checked_json.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

namespace clementinegap {
namespace {

constexpr duration progress_interval = seconds(1);
constexpr duration answer_poll_interval = milliseconds(20);
constexpr std::uint16_t first_error_status = 400;
constexpr std::size_t max_error_bytes = 4096;

/// What the callbacks of one call share; used on one client thread.
struct open_call {
    load_result result;
    event_stream_scanner scanner;
    bool streamed{false};
    std::string error_text;
};

void read_failure(open_call& call)
{
    // A stream that failed after its first byte ends with an error event in place of the end mark.
    const auto start = call.error_text.find('{');
    const auto body = start == std::string::npos
                          ? json()
                          : json::parse(call.error_text.begin() + static_cast<std::ptrdiff_t>(start),
                                        call.error_text.end(), nullptr, false);
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
        return;
    }
    const auto& error = body["error"];
    call.result.code = error.value("code", std::uint16_t{0});
    call.result.said_not_run = error.value("ran", "") == "no";
}

/// One load run.
class load_run {
public:
    load_run(std::span<const planned_call> calls, std::span<const planned_control> controls,
             const load_options& options)
        : calls_(calls), controls_(controls), options_(options), open_(calls.size())
    {
        for (unsigned int i = 0; i < std::max(1U, options.threads); ++i) {
            clients_.push_back(std::make_unique<http_client>());
        }
    }

    std::vector<load_result> run()
    {
        started_ = std::chrono::steady_clock::now();
        std::size_t control = 0;
        for (std::size_t i = 0; i < calls_.size(); ++i) {
            while (control < controls_.size() && controls_[control].at <= calls_[i].at) {
                send(controls_[control++]);
            }
            wait_until(calls_[i].at);
            send(i);
        }
        while (control < controls_.size()) {
            send(controls_[control++]);
        }
        await_answers();
        clients_.clear();
        std::vector<load_result> results;
        results.reserve(open_.size());
        for (const auto& call : open_) {
            results.push_back(call->result);
        }
        return results;
    }

private:
    duration passed() const
    {
        return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - started_);
    }

    void wait_until(duration at)
    {
        while (passed() < at) {
            const auto step = std::min(at, next_progress_);
            std::this_thread::sleep_until(started_ + step);
            tell_progress();
        }
    }

    void tell_progress()
    {
        if (passed() < next_progress_) {
            return;
        }
        next_progress_ += progress_interval;
        if (options_.on_progress) {
            options_.on_progress(passed(), sent_, answered_);
        }
    }

    void send(const planned_control& control)
    {
        wait_until(control.at);
        clients_.front()->start(control.call, {});
    }

    void send(std::size_t index)
    {
        open_[index] = std::make_unique<open_call>();
        auto& call = *open_[index];
        call.streamed = calls_[index].streamed;
        call.result.planned = calls_[index].at;
        call.result.sent = passed();
        http_call_events events;
        events.on_head = [&call](std::uint16_t status, std::string_view) { call.result.status = status; };
        events.on_bytes = [this, &call](std::string_view bytes) { take(call, bytes); };
        events.on_end = [this, &call](const http_end& end) { finish(call, end); };
        ++sent_;
        clients_[index % clients_.size()]->start(calls_[index].call, std::move(events));
    }

    void take(open_call& call, std::string_view bytes)
    {
        if (call.result.first_token < duration::zero()) {
            call.result.first_token = passed();
        }
        const bool failed = call.result.status >= first_error_status;
        if (call.streamed && !failed) {
            call.result.tokens += call.scanner.feed(bytes);
            if (bytes.find("event: error") != std::string_view::npos || !call.error_text.empty()) {
                call.error_text.append(bytes.substr(0, max_error_bytes));
            }
        } else if (failed && call.error_text.size() < max_error_bytes) {
            call.error_text.append(bytes);
        }
    }

    void finish(open_call& call, const http_end& end)
    {
        call.result.ended = passed();
        const bool success =
            end.kind == http_end_kind::complete && end.status != 0 && end.status < first_error_status;
        call.result.complete = success && (!call.streamed || call.scanner.end_mark_seen());
        if (call.result.complete && !call.streamed) {
            call.result.tokens = 1;
        } else if (!call.result.complete) {
            read_failure(call);
        }
        ++answered_;
    }

    void await_answers()
    {
        const auto give_up = passed() + options_.grace;
        while (answered_ < sent_ && passed() < give_up) {
            std::this_thread::sleep_for(answer_poll_interval);
            tell_progress();
        }
    }

    std::span<const planned_call> calls_;
    std::span<const planned_control> controls_;
    const load_options& options_;
    std::vector<std::unique_ptr<open_call>> open_;
    std::vector<std::unique_ptr<http_client>> clients_;
    std::chrono::steady_clock::time_point started_;
    duration next_progress_{progress_interval};
    std::size_t sent_{0};
    std::atomic<std::size_t> answered_{0};
};

} // namespace

std::vector<load_result> run_load(std::span<const planned_call> calls,
                                  std::span<const planned_control> controls, const load_options& options)
{
    return load_run(calls, controls, options).run();
}

} // namespace clementinegap
