#include "observability/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>

namespace clementinegap {
namespace {

const prometheus::Histogram::BucketBoundaries latency_buckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33,
                                                              0.5,   1,    2,     5,    15,  60};

} // namespace

class metrics::implementation {
public:
    implementation()
        : ended(prometheus::BuildCounter()
                    .Name("clementinegap_requests_total")
                    .Help("Requests ended, by class, result code and whether the target was met.")
                    .Register(registry)),
          first_token(prometheus::BuildHistogram()
                          .Name("clementinegap_first_token_seconds")
                          .Help("From arrival to the first token, by class.")
                          .Register(registry)),
          total(prometheus::BuildHistogram()
                    .Name("clementinegap_request_seconds")
                    .Help("From arrival to the end of the answer, by class.")
                    .Register(registry)),
          tokens(prometheus::BuildCounter()
                     .Name("clementinegap_tokens_total")
                     .Help("Tokens relayed, by class.")
                     .Register(registry)),
          events(prometheus::BuildCounter()
                     .Name("clementinegap_events_total")
                     .Help("Events of the time line, by kind.")
                     .Register(registry))
    {
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& ended;
    prometheus::Family<prometheus::Histogram>& first_token;
    prometheus::Family<prometheus::Histogram>& total;
    prometheus::Family<prometheus::Counter>& tokens;
    prometheus::Family<prometheus::Counter>& events;
    std::mutex gauge_mutex;
    std::map<std::string, prometheus::Gauge*, std::less<>> gauges;
};

metrics::metrics() : implementation_(std::make_unique<implementation>()) {}

metrics::~metrics() = default;

void metrics::request_ended(std::string_view class_name, std::string_view code, bool target_met,
                            double first_token, double total, std::uint32_t tokens)
{
    auto& self = *implementation_;
    const std::string name(class_name);
    self.ended
        .Add({{"class", name}, {"code", std::string(code)}, {"target_met", target_met ? "true" : "false"}})
        .Increment();
    if (first_token > 0) {
        self.first_token.Add({{"class", name}}, latency_buckets).Observe(first_token);
    }
    self.total.Add({{"class", name}}, latency_buckets).Observe(total);
    self.tokens.Add({{"class", name}}).Increment(tokens);
}

void metrics::event_counted(std::string_view kind)
{
    implementation_->events.Add({{"kind", std::string(kind)}}).Increment();
}

void metrics::set(std::string_view name, double value)
{
    auto& self = *implementation_;
    const std::lock_guard lock(self.gauge_mutex);
    auto& gauge = self.gauges[std::string(name)];
    if (gauge == nullptr) {
        gauge = &prometheus::BuildGauge()
                     .Name(std::string(name))
                     .Help("See docs/metrics.md.")
                     .Register(self.registry)
                     .Add({});
    }
    gauge->Set(value);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(implementation_->registry.Collect());
}

} // namespace clementinegap
