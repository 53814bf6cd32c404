#include "router/gateway_fixture.h"

#include "platform/directory_rows.h"

namespace clementinegap::testing {
namespace {

constexpr duration step_timeout =
    seconds(20); ///< Far above the duration of any step, also on a busy machine.

std::string configuration_text(int version, std::size_t body_bytes = 5000)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
      {"name":"look","host":"h","prefix":"/look/","kind":"safe","timeout_ms":15000,"goal_ms":14000,"service":"app","max_attempts":2},
      {"name":"book","host":"h","prefix":"/book/","kind":"unsafe","timeout_ms":15000,"goal_ms":300,"service":"app","max_attempts":1},
      {"name":"short","host":"h","prefix":"/short/","kind":"unsafe","timeout_ms":150,"goal_ms":100,"service":"app","max_attempts":1},
      {"name":"ask","host":"h","prefix":"/ask/","kind":"stream","timeout_ms":15000,"goal_ms":600,"gap_goal_ms":400,
       "stream_resume":true,"service":"app","max_attempts":2},
      {"name":"guide","host":"h","prefix":"/guide/","kind":"stream","timeout_ms":15000,"goal_ms":600,"gap_goal_ms":250,
       "service":"app","max_attempts":1}],
     "services":[{"name":"app","health":"/health","max_conns":100,"engine":{"slots":8,"kv_capacity":1000,"stride":3}}],
     "limits":{"header_bytes":2000,"body_bytes":)" +
           std::to_string(body_bytes) + R"(,"header_timeout_ms":3000,"idle_timeout_ms":15000},
     "tenants":[{"name":"team","keys":["k"]}]})";
}

std::string upstream_text(std::uint16_t port)
{
    return R"({"service":"app","address":"127.0.0.1:)" + std::to_string(port) +
           R"(","zone":"z","slots":6,"state":"ready","version":"v1","born":1})";
}

} // namespace

test_caller::test_caller(event_loop& loop, std::uint16_t port) : connection_(loop, [] {})
{
    connection_.connect("127.0.0.1", port, keepalive_limits{});
}

void test_caller::send(std::string request)
{
    result_ = {};
    connection_.start(std::move(request), *this);
}

http_client_connection::head_verdict test_caller::on_response_head(const http_head& head)
{
    result_.status = head.status;
    result_.head = head;
    return http_client_connection::head_verdict::take;
}

gateway_fixture::gateway_fixture()
    : log("entry-1", "off"), router({"entry-1", "z", 1, {0.2, 56, seconds(10)}}), store(loop), upstream(loop),
      other(loop)
{
    store.listen();
    upstream.listen();
    other.listen();
    store.put("op", "config", configuration_text(1));
    store.put("servers", "u1", upstream_text(upstream.port()));
    store.put("servers", "u2", upstream_text(other.port()));
    store.put("servers", "torn", R"({"service":"app","addr)");
    gateway = std::make_unique<entry_gateway>(loop, router, log, counters, [](const soft_state_item&) {});
    gateway->listen({"127.0.0.1", 0});
    const endpoint address{"127.0.0.1", store.port()};
    configuration = std::make_unique<table_reader>(
        loop, address, table_follower("op", 1),
        [this](const table_follower::progress& got) {
            for (const auto& row : got.changes) {
                if (auto table = decode_configuration(row.value)) {
                    gateway->post(configuration_received{table.value()});
                }
            }
        },
        [](const table_reader::call_result&) {});
    directory = std::make_unique<table_reader>(
        loop, address, table_follower("servers", 2),
        [this](const table_follower::progress& got) { apply_directory(got); },
        [](const table_reader::call_result&) {});
    wake();
    run_until([this] { return router.is_ready(); });
}

gateway_fixture::~gateway_fixture()
{
    configuration.reset();
    directory.reset();
    gateway.reset();
}

void gateway_fixture::apply_directory(const table_follower::progress& progress)
{
    if (progress.lost) {
        gateway->post(directory_unreachable{});
    }
    if (progress.regained) {
        gateway->post(directory_reachable{});
    }
    directory_listed listing;
    for (const auto& row : progress.changes) {
        auto record = decode_upstream(row.key, row.value);
        if (row.deleted) {
            gateway->post(upstream_removed{row.key});
        } else if (record && progress.is_snapshot) {
            listing.records.push_back(record.value());
        } else if (record) {
            gateway->post(upstream_listed{record.value()});
        }
    }
    if (progress.is_snapshot) {
        gateway->post(listing);
    }
}

void gateway_fixture::wake()
{
    const auto now = event_loop::now();
    if (gateway) {
        if (router.next_due() <= now) {
            gateway->post(tick{});
        }
        configuration->run(now);
        directory->run(now);
        gateway->sweep(now);
    }
    upstream.advance(now);
    other.advance(now);
    constexpr duration step = milliseconds(5);
    loop.wake_at(event_loop::now() + step, [this] { wake(); });
}

void gateway_fixture::allow_bodies(std::size_t bytes)
{
    store.put("op", "config", configuration_text(2, bytes));
    run_until([this] { return router.table()->version() == 2; });
}

bool gateway_fixture::run_until(const std::function<bool()>& done)
{
    const auto end = event_loop::now() + step_timeout;
    while (!done()) {
        if (event_loop::now() > end) {
            return false;
        }
        uv_run(loop.native(), UV_RUN_ONCE);
    }
    return true;
}

std::string gateway_fixture::request(const std::string& path, const std::string& id,
                                     const std::string& more_headers, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 14000\r\nAuthorization: Bearer k\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

caller_result gateway_fixture::call(const std::string& path, const std::string& more_headers,
                                    const std::string& body)
{
    return call_raw(request(path, "id-" + std::to_string(++ids_), more_headers, body));
}

caller_result gateway_fixture::call_raw(const std::string& bytes)
{
    test_caller caller(loop, gateway->port());
    caller.send(bytes);
    run_until([&] { return caller.result().ended || caller.result().failed; });
    return caller.result();
}

} // namespace clementinegap::testing
