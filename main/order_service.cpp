#include "main/order_service.h"

#include "request/messages.h"

#include <utility>

namespace clementinegap {
namespace {

constexpr std::size_t ring_capacity = 256;
constexpr duration engine_timeout = seconds(60);
constexpr std::uint16_t http_ok = 200;

std::optional<engine_order> order_from(const std::string& body)
{
    fault_list faults;
    const auto document = parse_json_with_comments(body, faults);
    if (!document) {
        return std::nullopt;
    }
    object_reader reader(*document, "", faults);
    const auto kind = order_kind_from(reader.string("kind"));
    engine_order result;
    result.name = reader.string("name");
    result.number = static_cast<std::uint64_t>(reader.integer("number", 1, INT64_MAX));
    reader.finish();
    if (!kind || !faults.empty()) {
        return std::nullopt;
    }
    result.kind = *kind;
    return result;
}

engine_replied::kind reply_of(const http_end& end)
{
    if (end.kind == http_end_kind::complete) {
        return end.status == http_ok ? engine_replied::kind::applied : engine_replied::kind::refused;
    }
    return end.kind == http_end_kind::not_reached ? engine_replied::kind::refused
                                                  : engine_replied::kind::unknown;
}

} // namespace

order_service::order_service(table_port& table, std::string vm, std::string engine_url)
    : table_(table), vm_(std::move(vm)), engine_url_(std::move(engine_url)),
      decisions_(order_core(order_settings{}), ring_capacity,
                 [this](const order_action& action, time_point /*now*/) { perform(action); })
{
}

order_service::~order_service()
{
    stop();
}

void order_service::take(const std::string& body, answer_function answer)
{
    auto order = order_from(body);
    if (!order) {
        answer(result_code::malformed_body);
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        order->id = ++last_id_;
        waiting_.emplace(order->id, std::move(answer));
    }
    if (!decisions_.post(order_received{*order})) {
        this->answer({order->id, result_code::table_full});
    }
}

void order_service::perform(const order_action& action)
{
    std::visit(overloaded{[&](const read_lease& value) { read_row(value.step); },
                          [&](const forward_order& value) { forward(value); },
                          [&](const order_result& value) { answer(value); }},
               action);
}

void order_service::read_row(std::uint64_t step)
{
    table_.read(lease_table, vm_, [this, step](const read_result& result) {
        lease_read event{step, std::nullopt};
        if (result.result == store_result::absent) {
            event.row = lease_row{};
        } else if (result.result == store_result::done) {
            // A row that cannot be read is nobody's lease.
            auto row = lease_from_row(result.row.value);
            event.row = row ? row.value() : lease_row{};
        }
        decisions_.post(event);
    });
}

void order_service::forward(const forward_order& action)
{
    http_call call;
    call.method = "POST";
    call.url = engine_url_ + "/v1/orders";
    call.headers = {"Content-Type: application/json"};
    call.body = json{{"kind", std::string(to_string(action.order.kind))},
                     {"name", action.order.name},
                     {"fencing", action.order.number}}
                    .dump();
    call.timeout = engine_timeout;
    call.fresh_connection = true;
    http_call_events events;
    events.on_end = [this, step = action.step](const http_end& end) {
        decisions_.post(engine_replied{step, reply_of(end)});
    };
    client_.start(std::move(call), std::move(events));
}

void order_service::answer(const order_result& action)
{
    answer_function waiting;
    {
        const std::lock_guard lock(mutex_);
        const auto found = waiting_.find(action.id);
        if (found == waiting_.end()) {
            return;
        }
        waiting = std::move(found->second);
        waiting_.erase(found);
    }
    waiting(action.code);
}

} // namespace clementinegap
