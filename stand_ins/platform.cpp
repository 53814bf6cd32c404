#include "stand_ins/platform.h"

namespace clementinegap {
namespace {

constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_bad_request = 400;
constexpr std::uint16_t http_not_found = 404;
constexpr std::uint16_t http_conflict = 409;
constexpr std::uint16_t http_unavailable = 503;

const http_server::headers json_headers{{"Content-Type", "application/json"}};

json row_json(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return {{"key", key}, {"value", value}, {"revision", revision}};
}

} // namespace

platform_stand_in::platform_stand_in() = default;

outcome<void> platform_stand_in::start(std::uint16_t port)
{
    http_server_options options;
    options.port = port;
    options.max_body = 64U << 20U;
    http_server_events events;
    events.on_request = [this](http_request request) { on_request(std::move(request)); };
    return server_.start(options, std::move(events));
}

void platform_stand_in::stop()
{
    later_.stop();
    server_.stop();
}

void platform_stand_in::on_request(http_request request)
{
    const std::lock_guard lock(mutex_);
    const auto body = json::parse(request.body, nullptr, false);
    std::uint16_t status = http_ok;
    if (request.path.starts_with("/control/")) {
        const auto answer = control(request, body, status);
        server_.answer(request.exchange, status, json_headers, answer.dump());
        return;
    }
    if (faults_.outage) {
        server_.answer(request.exchange, http_unavailable, json_headers, R"({"error":"outage"})");
        return;
    }
    auto text = answer_to(request, body, status).dump();
    const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < faults_.lose_answers;
    if (lost) {
        // The effect stands; only the answer does not arrive.
        server_.abort(request.exchange);
        return;
    }
    if (faults_.slow == duration::zero()) {
        server_.answer(request.exchange, status, json_headers, std::move(text));
        return;
    }
    later_.after(faults_.slow, [this, exchange = request.exchange, status, text = std::move(text)] {
        server_.answer(exchange, status, json_headers, text);
    });
}

json platform_stand_in::answer_to(const http_request& request, const json& body, std::uint16_t& status)
{
    if (request.path == "/v1/vms") {
        ++reads_;
        return {{"vms", vms_}};
    }
    if (request.path.starts_with("/v1/objects/")) {
        return objects(request, body, status);
    }
    if (!body.is_object()) {
        status = http_bad_request;
        return {{"error", "a JSON object is expected"}};
    }
    if (request.path == "/v1/tables/transact") {
        return transact(body, status);
    }
    if (request.path == "/v1/tables/read") {
        ++reads_;
        return read(body, status);
    }
    if (request.path == "/v1/tables/scan") {
        ++reads_;
        return scan(body);
    }
    status = http_not_found;
    return {{"error", "unknown path"}};
}

const platform_stand_in::row* platform_stand_in::find(const std::string& table, const std::string& key) const
{
    const auto found = rows_.find({table, key});
    return found == rows_.end() ? nullptr : &found->second;
}

json platform_stand_in::transact(const json& body, std::uint16_t& status)
{
    json conflicts = json::array();
    for (const auto& operation : body.at("operations")) {
        const auto key = operation.at("key").get<std::string>();
        const auto* existing = find(operation.at("table"), key);
        const bool inserts = operation.at("kind") == "insert";
        const auto revision = operation.value("revision", std::uint64_t{0});
        const bool stands =
            inserts ? existing == nullptr : (existing == nullptr ? 0 : existing->revision) == revision;
        if (!stands) {
            conflicts.push_back(existing == nullptr ? row_json(key, "", 0)
                                                    : row_json(key, existing->value, existing->revision));
        }
    }
    if (!conflicts.empty()) {
        status = http_conflict;
        return {{"applied", false}, {"conflicts", conflicts}};
    }
    ++revision_;
    ++writes_;
    for (const auto& operation : body.at("operations")) {
        const std::pair place{operation.at("table").get<std::string>(),
                              operation.at("key").get<std::string>()};
        const auto& kind = operation.at("kind");
        if (kind == "erase") {
            rows_.erase(place);
        } else if (kind != "check") {
            rows_[place] = {operation.at("value").get<std::string>(), revision_};
        }
    }
    return {{"applied", true}, {"revision", revision_}};
}

json platform_stand_in::read(const json& body, std::uint16_t& status) const
{
    const auto key = body.at("key").get<std::string>();
    const auto* found = find(body.at("table"), key);
    if (found == nullptr) {
        status = http_not_found;
        return {{"error", "absent"}};
    }
    return row_json(key, found->value, found->revision);
}

json platform_stand_in::scan(const json& body) const
{
    const auto table = body.at("table").get<std::string>();
    const auto prefix = body.value("prefix", "");
    json rows = json::array();
    for (auto at = rows_.lower_bound({table, prefix}); at != rows_.end(); ++at) {
        if (at->first.first != table || !at->first.second.starts_with(prefix)) {
            break;
        }
        rows.push_back(row_json(at->first.second, at->second.value, at->second.revision));
    }
    return {{"rows", rows}};
}

json platform_stand_in::objects(const http_request& request, const json& body, std::uint16_t& status)
{
    const auto name = body.at("name").get<std::string>();
    if (request.path == "/v1/objects/write") {
        objects_[name] = body.at("data").get<std::string>();
        return {{"written", true}};
    }
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        status = http_not_found;
        return {{"error", "absent"}};
    }
    return {{"name", name}, {"data", found->second}};
}

json platform_stand_in::control(const http_request& request, const json& body, std::uint16_t& status)
{
    if (request.path == "/control/faults" && body.is_object()) {
        faults_.outage = body.value("outage", faults_.outage);
        faults_.slow = milliseconds(body.value("slow_ms", to_milliseconds(faults_.slow)));
        faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
        faults_.list_lag = milliseconds(body.value("list_lag_ms", to_milliseconds(faults_.list_lag)));
        if (body.contains("seed")) {
            random_.seed(body["seed"].get<std::uint64_t>());
        }
        return {{"set", true}};
    }
    if (request.path == "/control/vms" && body.is_object()) {
        set_vms(body.at("vms"));
        return {{"set", true}};
    }
    if (request.path == "/control/counts") {
        return {{"writes", writes_}, {"reads", reads_}, {"rows", rows_.size()}};
    }
    status = http_not_found;
    return {{"error", "unknown control"}};
}

void platform_stand_in::set_vms(const json& vms)
{
    if (faults_.list_lag == duration::zero()) {
        vms_ = vms;
        return;
    }
    later_.after(faults_.list_lag, [this, vms] { vms_ = vms; });
}

} // namespace clementinegap
