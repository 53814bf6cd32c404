#include "stand_ins/engine.h"

#include "core/digest.h"

#include <algorithm>
#include <charconv>

namespace clementinegap {
namespace {

constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_bad_request = 400;
constexpr std::uint16_t http_not_found = 404;
constexpr std::uint16_t http_conflict = 409;
constexpr std::size_t block_characters = 256;
constexpr std::size_t characters_per_token = 4;
constexpr std::uint32_t least_tokens = 10;
constexpr std::uint32_t token_spread = 40;
constexpr std::size_t max_cache_events = 10000;

const http_server::headers json_headers{{"Content-Type", "application/json"}};
const http_server::headers stream_headers{{"Content-Type", "text/event-stream"},
                                          {"Cache-Control", "no-cache"}};

std::string prompt_of(const json& body)
{
    std::string prompt;
    if (body.contains("messages")) {
        for (const auto& message : body["messages"]) {
            prompt += message.value("content", "");
            prompt += '\n';
        }
    } else {
        prompt = body.value("prompt", "");
    }
    return prompt;
}

std::string word(std::uint64_t seed, std::uint32_t index)
{
    static constexpr std::string_view words[] = {"fold",  "seam",   "hem",  "cut",
                                                 "brass", "polish", "cone", "sew"};
    return std::string(words[hash64(std::to_string(index), seed) % std::size(words)]) +
           std::to_string(index) + " ";
}

int number_header(const http_request& request, std::string_view name)
{
    const auto text = request.header(name);
    int value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string stream_event(const std::string& id, const std::string& text)
{
    const json event{
        {"id", id},
        {"object", "chat.completion.chunk"},
        {"choices", {{{"index", 0}, {"delta", {{"content", text}}}, {"finish_reason", nullptr}}}}};
    return "data: " + event.dump() + "\n\n";
}

} // namespace

engine_stand_in::engine_stand_in(const engine_stand_in_options& options)
    : options_(options), random_(options.seed)
{
}

outcome<void> engine_stand_in::start(std::uint16_t port)
{
    http_server_options options;
    options.port = port;
    options.max_body = 64U << 20U;
    http_server_events events;
    events.on_request = [this](http_request request) { on_request(std::move(request)); };
    events.on_gone = [this](exchange_id exchange) {
        const std::lock_guard lock(mutex_);
        drop(exchange);
    };
    {
        const std::lock_guard lock(mutex_);
        publish_load();
    }
    return server_.start(options, std::move(events));
}

void engine_stand_in::stop()
{
    later_.stop();
    server_.stop();
}

void engine_stand_in::reply(exchange_id exchange, std::uint16_t status, const json& body)
{
    server_.answer(exchange, status, json_headers, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void engine_stand_in::on_request(http_request request)
{
    const std::lock_guard lock(mutex_);
    const auto body = json::parse(request.body, nullptr, false);
    if (request.path == "/control") {
        control(request, body);
        return;
    }
    if (down_) {
        server_.abort(request.exchange);
        return;
    }
    if (request.path == "/v1/chat/completions" || request.path == "/v1/completions") {
        complete_chat(request, body);
    } else if (request.path.starts_with("/v1/requests/")) {
        steer(request);
    } else if (request.path == "/v1/orders") {
        order(request, body);
    } else {
        const auto answer = report(request);
        reply(request.exchange, answer.is_null() ? http_not_found : http_ok, answer);
    }
}

void engine_stand_in::complete_chat(const http_request& request, const json& body)
{
    if (!body.is_object()) {
        reply(request.exchange, http_bad_request, {{"error", "a JSON object is expected"}});
        return;
    }
    const auto prompt = prompt_of(body);
    if (!crash_on_.empty() && prompt.find(crash_on_) != std::string::npos) {
        crash();
        server_.abort(request.exchange);
        return;
    }
    auto item = std::make_shared<stream>();
    item->exchange = request.exchange;
    item->request_id = request.header("x-request-id");
    item->model = body.value("model", "");
    item->priority = number_header(request, "x-priority");
    item->streamed = body.value("stream", false);
    item->text_seed = hash64(prompt);
    item->produced = static_cast<std::uint32_t>(number_header(request, "x-resume-from-token"));
    item->total = body.value("stand_in_tokens",
                             least_tokens + static_cast<std::uint32_t>(item->text_seed % token_spread));
    item->total = std::min(item->total, body.value("max_tokens", item->total));
    item->prefill = prefill_time(prompt);
    ++starts_by_request_[item->request_id];
    streams_.emplace(item->exchange, item);
    waiting_.push_back(item);
    admit();
}

duration engine_stand_in::prefill_time(const std::string& prompt)
{
    std::size_t uncached = prompt.size() % block_characters;
    std::uint64_t running = 0;
    for (std::size_t at = 0; at + block_characters <= prompt.size(); at += block_characters) {
        running = hash64(std::string_view(prompt).substr(at, block_characters), running);
        const auto found = cache_.find(running);
        if (found != cache_.end()) {
            cache_order_.splice(cache_order_.begin(), cache_order_, found->second);
            continue;
        }
        uncached += block_characters;
        cache_order_.push_front(running);
        cache_[running] = cache_order_.begin();
        ++cache_sequence_;
        const bool published =
            std::uniform_real_distribution<double>(0, 1)(random_) >= options_.cache_event_loss;
        if (published && cache_events_.size() < max_cache_events) {
            cache_events_.push_back({{"sequence", cache_sequence_}, {"stored", running}});
        }
        if (cache_order_.size() > options_.cached_blocks) {
            cache_.erase(cache_order_.back());
            cache_order_.pop_back();
        }
    }
    return options_.prefill_base +
           options_.prefill_per_token * static_cast<std::int64_t>(uncached / characters_per_token);
}

std::size_t engine_stand_in::running() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        streams_, [](const auto& item) { return item.second->running && !item.second->paused; }));
}

void engine_stand_in::admit()
{
    while (!waiting_.empty() && running() < options_.slots) {
        const auto best =
            std::ranges::min_element(waiting_, {}, [](const stream_ptr& item) { return item->priority; });
        const auto item = *best;
        waiting_.erase(best);
        item->running = true;
        ++starts_;
        const auto delay = std::chrono::duration_cast<duration>(item->prefill * slow_);
        later_.after(delay, [this, item] { produce(item); });
    }
}

void engine_stand_in::produce(const stream_ptr& item)
{
    if (!streams_.contains(item->exchange) || item->paused) {
        return;
    }
    if (item->produced >= item->total) {
        finish(item);
        return;
    }
    const auto text = word(item->text_seed, item->produced++);
    ++tokens_produced_;
    if (item->streamed) {
        if (item->text.empty()) {
            server_.begin(item->exchange, http_ok, stream_headers);
        }
        server_.write(item->exchange, stream_event(item->request_id, text));
    }
    item->text += text;
    const auto delay = std::chrono::duration_cast<duration>(options_.token_interval * slow_);
    later_.after(delay, [this, item] { produce(item); });
}

void engine_stand_in::finish(const stream_ptr& item)
{
    if (item->streamed) {
        if (item->text.empty()) {
            server_.begin(item->exchange, http_ok, stream_headers);
        }
        server_.write(item->exchange, "data: [DONE]\n\n");
        server_.end(item->exchange);
    } else {
        reply(item->exchange, http_ok,
              {{"id", item->request_id},
               {"object", "chat.completion"},
               {"model", item->model},
               {"choices",
                {{{"index", 0},
                  {"message", {{"role", "assistant"}, {"content", item->text}}},
                  {"finish_reason", "stop"}}}},
               {"usage", {{"completion_tokens", item->produced}}}});
    }
    streams_.erase(item->exchange);
    admit();
}

void engine_stand_in::drop(exchange_id exchange)
{
    const auto found = streams_.find(exchange);
    if (found == streams_.end()) {
        return;
    }
    std::erase(waiting_, found->second);
    streams_.erase(found);
    admit();
}

void engine_stand_in::steer(const http_request& request)
{
    // /v1/requests/{id}/pause|resume|cancel
    constexpr std::size_t prefix = std::string_view("/v1/requests/").size();
    const auto slash = request.path.rfind('/');
    const auto id = request.path.substr(prefix, slash - prefix);
    const auto verb = request.path.substr(slash + 1);
    const auto found =
        std::ranges::find_if(streams_, [&](const auto& item) { return item.second->request_id == id; });
    if (found == streams_.end()) {
        reply(request.exchange, http_not_found, {{"error", "no such request"}});
        return;
    }
    const auto item = found->second;
    if (verb == "pause") {
        item->paused = true;
        admit();
    } else if (verb == "resume" && item->paused) {
        item->paused = false;
        item->running = false;
        waiting_.push_back(item);
        item->prefill = duration::zero();
        admit();
    } else if (verb == "cancel") {
        server_.abort(item->exchange);
        drop(item->exchange);
    }
    reply(request.exchange, http_ok, {{"done", true}});
}

void engine_stand_in::order(const http_request& request, const json& body)
{
    if (!body.is_object()) {
        reply(request.exchange, http_bad_request, {{"error", "a JSON object is expected"}});
        return;
    }
    const auto number = body.value("fencing", std::uint64_t{0});
    if (options_.checks_fencing && number < highest_fencing_) {
        reply(request.exchange, http_conflict,
              {{"error", "outdated fencing number"}, {"highest", highest_fencing_}});
        return;
    }
    highest_fencing_ = std::max(highest_fencing_, number);
    applied_orders_.push_back(body);
    if (body.value("kind", "") == "load_model") {
        models_.insert(body.value("name", ""));
    }
    reply(request.exchange, http_ok, {{"applied", true}});
}

json engine_stand_in::report(const http_request& request)
{
    if (request.path == "/v1/load") {
        return published_load_;
    }
    if (request.path == "/v1/cache/events") {
        return {{"events", cache_events_}};
    }
    if (request.path == "/v1/counts") {
        return {{"starts", starts_},
                {"tokens", tokens_produced_},
                {"orders", applied_orders_},
                {"models", models_},
                {"starts_by_request", starts_by_request_}};
    }
    return nullptr;
}

void engine_stand_in::publish_load()
{
    published_load_ = {{"running", running()}, {"waiting", waiting_.size()}, {"slots", options_.slots}};
    later_.after(options_.load_lag, [this] { publish_load(); });
}

void engine_stand_in::control(const http_request& request, const json& body)
{
    if (!body.is_object()) {
        reply(request.exchange, http_bad_request, {{"error", "a JSON object is expected"}});
        return;
    }
    slow_ = body.value("slow", slow_);
    crash_on_ = body.value("crash_on", crash_on_);
    options_.checks_fencing = body.value("checks_fencing", options_.checks_fencing);
    options_.token_interval = microseconds(body.value("token_interval_us", options_.token_interval.count()));
    if (body.value("crash", false)) {
        crash();
        later_.after(milliseconds(body.value("down_ms", 1000)), [this] { down_ = false; });
        down_ = true;
    }
    reply(request.exchange, http_ok, {{"set", true}});
}

void engine_stand_in::crash()
{
    for (const auto& [exchange, item] : streams_) {
        server_.abort(exchange);
    }
    streams_.clear();
    waiting_.clear();
    cache_.clear();
    cache_order_.clear();
}

} // namespace clementinegap
