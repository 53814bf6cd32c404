#include "observability/event_log.h"
#include "observability/logger.h"
#include "observability/metrics.h"
#include "observability/timeline.h"

#include <fstream>
#include <string>

// Writes what operators' own tools read: a trace, JSON lines, metrics and, on standard error, log lines. The
// texts hold what is awkward to escape.

using namespace clementinegap;

int main(int argc, char** argv)
{
    if (argc != 2) {
        return 2;
    }
    const std::string folder = argv[1];
    const std::string awkward = "quote \" backslash \\ line\nbreak \x01 no UTF-8 \xff";
    event_log entry("entry-1", 100);
    event_log upstream("upstream-1", 100);
    const auto add = [](event_log& log, std::string kind, std::string detail, int ms) {
        log.add({std::move(kind), "r1", "guide", "shop", "upstream-1", std::move(detail)},
                time_point(seconds(1000) + milliseconds(ms)));
    };
    add(entry, "request.admitted", awkward, 0);
    add(upstream, "run.started", "", 10);
    add(upstream, "attempt.ended", "ok, ran yes", 40);
    add(entry, "request.ended", "ok, ran yes", 50);
    auto events = timeline_from_json_lines(entry.json_lines("") + upstream.json_lines("")).value();
    sort_timeline(events);
    std::ofstream(folder + "/trace.json") << timeline_trace(events);
    std::ofstream(folder + "/events.jsonl") << timeline_json_lines(events);
    metrics target;
    measured_request request;
    request.class_name = awkward;
    request.code = "overloaded";
    request.total = 2;
    target.request_ended(request);
    target.event_counted("request.ended");
    target.store_called("transact", 0.01, false);
    target.set("clementinegap_queued", 3);
    std::ofstream(folder + "/metrics.txt", std::ios::binary) << target.text();
    open_log(awkward, "info");
    log_info("started", awkward);
    log_error("start.failed", "{} %v %s");
    return 0;
}
