#include "routing/request_router.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// \file
/// The part of the router that keeps streams at the software version that began them, when a daemon resumes
/// them within their response and when callers take them up again at any daemon.

namespace clementinegap {
namespace {

/// Daemons that keep a copy of a stream's origin, so that it outlives the daemons that are lost together.
constexpr std::size_t origin_copies = 3;
/// Daemons that are asked for an origin: more than have it, since the fleet may have changed since.
constexpr std::size_t asked_daemons = 6;
/// Many times the round trip between availability zones; after it, a question or its answer was lost.
constexpr duration question_interval = milliseconds(80);
/// How long a caller waits for the origin of its stream at most. The slowest daemons answer within the tenth
/// of a second for which a processor quota may stop them.
constexpr duration search_time = milliseconds(250);
/// For so long a daemon may go on using upstreams that the directory no longer lists, because it cannot read
/// it or has not yet.
constexpr duration directory_lag = seconds(15);

} // namespace

std::vector<std::string> request_router::possible_keepers() const
{
    auto result = members_.others();
    if (members_.portion(now_) > 0) {
        return result;
    }
    // This daemon has not heard of all of them yet.
    result.insert(result.end(), registered_names_.begin(), registered_names_.end());
    std::ranges::sort(result);
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

void request_router::stream_began(routed_request& request)
{
    if (!request.can_be_resumed() || request.origin) {
        return;
    }
    const auto& upstream = *request.upstream;
    const auto listed = directory_.find(upstream.id);
    const bool has_restarted = listed && listed->incarnation != upstream.incarnation;
    const auto version = has_restarted ? std::string_view{} : versions_.certain_version(upstream, now_);
    request.origin = stream_origin{request.service, std::string(version)};
    const auto stream = stream_origins::key_of(request.id);
    origins_.began_here(stream, upstream.id, now_);
    keep_origin(stream, *request.origin);
}

void request_router::keep_origin(stream_key stream, const stream_origin& origin)
{
    origins_.add(stream, origin, now_);
    auto keepers = stream_origins::keepers(stream, possible_keepers(), origin_copies);
    if (!keepers.empty()) {
        actions_.emplace_back(send_stream_message{std::move(keepers), origin_copy{stream, origin}});
    }
}

void request_router::upstream_changed_version(const upstream_record& listed)
{
    for (const auto stream : origins_.begun_lately_at(listed.id)) {
        keep_origin(stream, {listed.service, ""});
    }
    for (auto& [number, request] : requests_) {
        // The end of the former process has broken its streams off; those that go on are of the new one. A
        // stream that waits for capacity is at no upstream: it keeps the version that began it.
        const bool is_there = request.upstream && request.upstream->id == listed.id;
        if (is_there && request.origin && request.first_event && !request.continues) {
            request.origin = stream_origin{listed.service, listed.software_version};
            keep_origin(stream_origins::key_of(request.id), *request.origin);
        }
    }
}

bool request_router::find_origin(routed_request& request)
{
    if (request.continues->empty()) {
        origin_not_found(request);
        return false;
    }
    const auto* known = origins_.find(stream_origins::key_of(*request.continues));
    if (known != nullptr) {
        return set_origin(request, *known);
    }
    ask_for_origin(request);
    return false;
}

bool request_router::set_origin(routed_request& request, const stream_origin& origin)
{
    const auto& targets = request.matched_route->targets;
    const bool may_go_there = std::ranges::any_of(
        targets, [&](const weighted_service& each) { return each.service == origin.service; });
    if (!may_go_there) {
        refuse_continuation(request, "its route no longer leads to the service that began its stream");
        return false;
    }
    if (origin.software_version.empty()) {
        refuse_continuation(request, "the version that began its stream is not known");
        return false;
    }
    request.origin = origin;
    request.service = origin.service;
    return true;
}

void request_router::ask_for_origin(routed_request& request)
{
    const auto stream = stream_origins::key_of(*request.continues);
    auto asked = stream_origins::keepers(stream, possible_keepers(), asked_daemons);
    if (asked.empty()) {
        origin_not_found(request);
        return;
    }
    origin_search search;
    search.stream = stream;
    search.ends_at = std::min(now_ + search_time, request.ends_at);
    search.unanswered = {asked.begin(), asked.end()};
    request.search = std::move(search);
    origin_searches_.emplace(stream, request.number);
    log("request.origin_asked", request, "stream of " + *request.continues);
    actions_.emplace_back(send_stream_message{std::move(asked), origin_question{stream, request.service}});
    request.timer =
        timers_.schedule(std::min(now_ + question_interval, request.search->ends_at),
                         [this, number = request.number](time_point) { on_origin_timer(number); });
}

void request_router::on_origin_timer(request_number number)
{
    const auto found = requests_.find(number);
    if (found == requests_.end() || !found->second.search) {
        return;
    }
    auto& request = found->second;
    const auto& search = *request.search;
    if (now_ >= search.ends_at) {
        origin_not_found(request);
        return;
    }
    actions_.emplace_back(send_stream_message{{search.unanswered.begin(), search.unanswered.end()},
                                              origin_question{search.stream, request.service}});
    request.timer = timers_.schedule(std::min(now_ + question_interval, search.ends_at),
                                     [this, number](time_point) { on_origin_timer(number); });
}

void request_router::end_search(routed_request& request)
{
    if (!request.search) {
        return;
    }
    const auto [first, last] = origin_searches_.equal_range(request.search->stream);
    const auto own =
        std::find_if(first, last, [&](const auto& each) { return each.second == request.number; });
    if (own != last) {
        origin_searches_.erase(own);
    }
    request.search.reset();
}

void request_router::on(const stream_message_received& event)
{
    std::visit([&](const auto& message) { on_message(event.daemon, message); }, event.message);
}

void request_router::on_message(const std::string& /*daemon*/, const origin_copy& message)
{
    origins_.add(message.stream, message.origin, now_);
}

void request_router::on_message(const std::string& daemon, const origin_question& message)
{
    origin_answer answer;
    answer.stream = message.stream;
    if (const auto* known = origins_.find(message.stream)) {
        answer.origin = *known;
    }
    answer.versions = versions_.seen(message.service, continuation_span(), now_);
    answer.are_all_versions = versions_.has_watched(continuation_span(), now_);
    actions_.emplace_back(send_stream_message{{daemon}, std::move(answer)});
}

void request_router::on_message(const std::string& daemon, const origin_answer& message)
{
    std::vector<request_number> asking;
    const auto [first, last] = origin_searches_.equal_range(message.stream);
    std::transform(first, last, std::back_inserter(asking), [](const auto& each) { return each.second; });
    for (const auto number : asking) {
        auto& request = requests_.at(number);
        auto& search = *request.search;
        if (message.origin) {
            end_search(request);
            if (set_origin(request, *message.origin)) {
                send_continuation(request);
            }
            continue;
        }
        if (search.unanswered.erase(daemon) == 0) {
            continue;
        }
        search.is_answered = true;
        search.versions.insert(message.versions.begin(), message.versions.end());
        search.are_all_versions = search.are_all_versions || message.are_all_versions;
        if (search.unanswered.empty()) {
            origin_not_found(request);
        }
    }
}

void request_router::origin_not_found(routed_request& request)
{
    const auto span = continuation_span();
    std::set<std::string> versions;
    bool are_all = versions_.has_watched(span, now_);
    if (request.search) {
        versions = std::move(request.search->versions);
        are_all = request.search->is_answered && (are_all || request.search->are_all_versions);
        end_search(request);
    }
    const auto seen = versions_.seen(request.service, span, now_);
    versions.insert(seen.begin(), seen.end());
    const bool is_certain = are_all && versions.size() == 1 && request.matched_route->targets.size() == 1;
    if (!is_certain) {
        refuse_continuation(request, "the version that began its stream is not known");
        return;
    }
    if (set_origin(request, {request.service, *versions.begin()})) {
        send_continuation(request);
    }
}

void request_router::send_continuation(routed_request& request)
{
    if (!try_send(request)) {
        give_up(request, send_fault::unreachable, false);
    }
}

void request_router::refuse_continuation(routed_request& request, std::string_view reason)
{
    log("request.refused", request, "503 " + std::string(reason));
    actions_.emplace_back(
        respond_to_caller{request.number, 503, result_code::stream_cannot_continue, std::nullopt});
    finish(request, result_code::stream_cannot_continue);
}

duration request_router::continuation_span() const
{
    duration longest{0};
    if (table_) {
        for (const route& each : table_->streams()) {
            longest = each.repeat == repeat_rule::resumable ? std::max(longest, each.timeout) : longest;
        }
    }
    return longest + directory_lag;
}

std::vector<upstream_ptr> request_router::usable_for(const routed_request& request) const
{
    auto result = directory_.usable(request.service, now_);
    if (request.origin) {
        std::erase_if(result, [&](const upstream_ptr& each) {
            return !versions_.can_continue(*each, *request.origin, now_);
        });
    }
    return result;
}

} // namespace clementinegap
