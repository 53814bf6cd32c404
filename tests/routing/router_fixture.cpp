#include "routing/router_fixture.h"

#include "core/digest.h"

#include <utility>

namespace clementinegap::testing {
namespace {

route make_route(const std::string& prefix, const std::string& service, repeat_rule repeat, bool stream)
{
    route result;
    result.name = prefix;
    result.host = "h";
    result.prefix = prefix;
    result.targets = {{service, 1}};
    result.repeat = repeat;
    result.is_stream = stream;
    result.timeout = milliseconds(stream ? 6000 : 800);
    result.objective = milliseconds(stream ? 600 : 300);
    result.max_upstreams = repeat == repeat_rule::once ? 1 : 2;
    return result;
}

} // namespace

router_settings daemon_settings(std::size_t index, std::uint64_t incarnation, double retry_slack)
{
    router_settings result;
    result.daemon = "entry-" + std::to_string(index);
    result.zone = "z1";
    result.incarnation = incarnation;
    result.retries = {0.2, retry_slack, seconds(10)};
    return result;
}

router_fixture::router_fixture() : router(daemon_settings(1, 1))
{
    give(configuration_received{table(1)});
    directory_listed listing;
    for (int engine = 1; engine <= 12; ++engine) {
        listing.records.push_back(upstream("e" + std::to_string(engine), "llm"));
    }
    listing.records.push_back(upstream("p1", "app"));
    listing.records.push_back(upstream("p2", "app", "z2"));
    give(listing);
}

std::shared_ptr<const route_table> router_fixture::table(std::uint64_t version, double copied_tokens_per_ms)
{
    auto result = std::make_shared<route_table>(version);
    result->add_route(make_route("/look/", "app", repeat_rule::repeatable, false));
    result->add_route(make_route("/book/", "app", repeat_rule::once, false));
    auto guide = make_route("/guide/", "llm", repeat_rule::once, true);
    guide.max_gap = milliseconds(240);
    result->add_route(guide);
    auto ask = make_route("/ask/", "llm", repeat_rule::resumable, true);
    ask.max_gap = milliseconds(400);
    result->add_route(ask);
    auto draft = make_route("/draft/", "llm", repeat_rule::once, true);
    draft.max_gap = milliseconds(1000);
    draft.objective = milliseconds(2000);
    result->add_route(draft);
    auto open = make_route("/open/", "app", repeat_rule::repeatable, false);
    open.is_public = true;
    result->add_route(open);
    service engines;
    engines.name = "llm";
    engines.engine = engine_traits{64, 200000, 3, copied_tokens_per_ms};
    result->add_service(engines);
    service plain;
    plain.name = "app";
    result->add_service(plain);
    result->add_workspace({"workspace-a", std::nullopt}, {"key-a"});
    return result;
}

upstream_record router_fixture::upstream(const std::string& id, const std::string& service,
                                         const std::string& zone)
{
    upstream_record record;
    record.id = id;
    record.service = service;
    // No two processes listen at one address at the same time.
    record.address = {"10.0.0.1", static_cast<std::uint16_t>(1024 + hash64(id) % 60000)};
    record.zone = zone;
    record.slots = service == "llm" ? 64 : 6;
    record.incarnation = 1;
    record.software_version = "v1";
    return record;
}

void router_fixture::give(const router_event& event)
{
    const auto orders = router.on_event(event, now);
    actions.assign(orders.begin(), orders.end());
}

void router_fixture::pass(duration span)
{
    now += span;
    give(tick{});
}

request_number router_fixture::arrive(const std::string& path, std::optional<duration> deadline,
                                      const std::string& key)
{
    request_arrived event;
    event.request = ++last;
    event.id = "id-" + std::to_string(last);
    event.host = "h";
    event.path = path;
    event.api_key = key;
    event.deadline = deadline;
    event.body_hash = last;
    give(event);
    return last;
}

request_number router_fixture::arrive_generation(const std::string& path, std::uint64_t session,
                                                 std::uint32_t own_tokens, std::uint32_t session_tokens,
                                                 std::optional<std::string> continues)
{
    request_arrived event;
    event.request = ++last;
    event.id = "id-" + std::to_string(last);
    event.host = "h";
    event.path = path;
    event.api_key = "key-a";
    event.body_hash = last;
    event.prompt.model = "m";
    event.prompt.tokens_in = own_tokens + session_tokens;
    event.prompt.tokens_out_limit = 100;
    event.prompt.parts = {{session, session_tokens}, {1000000 + last, own_tokens}};
    event.continues = std::move(continues);
    give(event);
    return last;
}

std::string router_fixture::sent_to() const
{
    const auto send = one<send_request>();
    return send ? send->upstream->id : "";
}

} // namespace clementinegap::testing
