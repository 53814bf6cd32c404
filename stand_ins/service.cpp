#include "stand_ins/service.h"

namespace clementinegap {
namespace {

constexpr std::uint16_t http_ok = 200;
const http_server::headers json_headers{{"Content-Type", "application/json"}};

} // namespace

outcome<void> service_stand_in::start(std::uint16_t port)
{
    http_server_options options;
    options.port = port;
    http_server_events events;
    events.on_request = [this](http_request request) { on_request(std::move(request)); };
    return server_.start(options, std::move(events));
}

void service_stand_in::stop()
{
    later_.stop();
    server_.stop();
}

void service_stand_in::on_request(http_request request)
{
    const std::lock_guard lock(mutex_);
    const auto body = json::parse(request.body, nullptr, false);
    if (request.path == "/ledger") {
        server_.answer(request.exchange, http_ok, json_headers, json(ledger_).dump());
        return;
    }
    if (request.path == "/control" && body.is_object()) {
        work_ = milliseconds(body.value("work_ms", to_milliseconds(work_)));
        drop_after_effect_ = body.value("drop_after_effect", drop_after_effect_);
        server_.answer(request.exchange, http_ok, json_headers, R"({"set":true})");
        return;
    }
    execute(request, body);
}

void service_stand_in::execute(const http_request& request, const json& body)
{
    json result{{"path", request.path}, {"done", true}};
    if (body.is_object() && body.contains("booking") && body["booking"].is_string()) {
        const auto booking = body["booking"].get<std::string>();
        result["booking"] = booking;
        result["times"] = ++ledger_[booking];
    }
    if (drop_after_effect_) {
        server_.abort(request.exchange);
        return;
    }
    later_.after(work_, [this, exchange = request.exchange, text = result.dump()] {
        server_.answer(exchange, http_ok, json_headers, text);
    });
}

} // namespace clementinegap
