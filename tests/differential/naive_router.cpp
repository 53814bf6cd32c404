#include "differential/naive_router.h"

namespace clementinegap {

naive_router::naive_router(manual_scheduler& scheduler, std::size_t upstreams, std::uint64_t seed)
    : random_(seed)
{
    for (std::size_t i = 0; i < upstreams; ++i) {
        engines_.push_back(std::make_unique<fake_engine>(
            scheduler, fake_engine_options{}, [this](const upstream_event& event) { on_event(event); }));
    }
}

std::size_t naive_router::send(const std::string& body)
{
    requests_.push_back({body, 0, {}});
    try_somewhere(requests_.size() - 1);
    return requests_.size() - 1;
}

void naive_router::try_somewhere(std::size_t request)
{
    const auto index = std::uniform_int_distribution<std::size_t>(0, engines_.size() - 1)(random_);
    auto& state = requests_.at(request);
    ++state.tries;
    engine_start run;
    run.run = ++last_run_;
    run.body = state.body;
    request_of_run_.emplace(run.run, request);
    engines_[index]->start(run);
}

void naive_router::on_event(const upstream_event& event)
{
    if (const auto* bytes = std::get_if<engine_bytes>(&event)) {
        requests_.at(request_of_run_.at(bytes->run)).answer.body += bytes->bytes;
        return;
    }
    const auto* end = std::get_if<engine_ended>(&event);
    if (end == nullptr) {
        return;
    }
    const auto request = request_of_run_.at(end->run);
    auto& state = requests_.at(request);
    if (end->kind != engine_end_kind::complete && state.answer.body.empty() && state.tries < max_tries) {
        try_somewhere(request);
        return;
    }
    state.answer.ended = true;
    state.answer.succeeded = end->kind == engine_end_kind::complete;
}

int naive_router::executions_of(const std::string& body) const
{
    int count = 0;
    for (const auto& engine : engines_) {
        const auto found = engine->executions().find(body);
        count += found == engine->executions().end() ? 0 : found->second;
    }
    return count;
}

} // namespace clementinegap
