#include "observability/metrics.h"

#include "observability/metric_table.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <stdexcept>

namespace clementinegap {
namespace {

constexpr std::size_t max_label_values = 128;
constexpr std::string_view overflow_label = "other";

const prometheus::Histogram::BucketBoundaries latency_buckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33,
                                                              0.5,   1,    2,     5,    15,  60};
const prometheus::Histogram::BucketBoundaries token_buckets{0.005, 0.01, 0.015, 0.02, 0.028,
                                                            0.04,  0.06, 0.1,   0.25, 1};

template <class Value> using by_label = std::map<std::string, Value, std::less<>>;

/// The kept value of a label, made by `make` at its first use, or that of the overflow label.
template <class Value, class Make> Value& kept(by_label<Value>& values, std::string_view label, Make make)
{
    auto found = values.find(label);
    if (found == values.end()) {
        const std::string name(values.size() < max_label_values ? label : overflow_label);
        found = values.find(name);
        if (found == values.end()) {
            found = values.emplace(name, make(name)).first;
        }
    }
    return found->second;
}

/// The time series of one class.
struct class_series {
    std::string name;
    prometheus::Histogram* first_token;
    prometheus::Histogram* inter_token;
    prometheus::Histogram* total;
    prometheus::Counter* tokens;
    prometheus::Counter* good_tokens;
    prometheus::Counter* wasted_tokens;
    prometheus::Counter* good_requests;
    prometheus::Counter* retries;
    by_label<prometheus::Counter*> met;    ///< By result code.
    by_label<prometheus::Counter*> missed; ///< By result code.
    class_totals totals;
};

struct store_series {
    prometheus::Histogram* span;
    prometheus::Counter* failures;
};

/// The row of a name that the code below uses.
const metric_definition& row(std::string_view name)
{
    const auto* found = find_metric(name);
    if (found == nullptr) {
        throw std::logic_error("not in the metric table: " + std::string(name));
    }
    return *found;
}

} // namespace

class metrics::implementation {
public:
    implementation()
        : ended(counter("clementinegap_requests_total")),
          first_token(histogram("clementinegap_first_token_seconds")),
          inter_token(histogram("clementinegap_inter_token_seconds")),
          total(histogram("clementinegap_request_seconds")),
          queue_wait(histogram("clementinegap_queue_wait_seconds")),
          tokens(counter("clementinegap_tokens_total")),
          good_tokens(counter("clementinegap_good_tokens_total")),
          wasted_tokens(counter("clementinegap_wasted_tokens_total")),
          good_requests(counter("clementinegap_good_requests_total")),
          retries(counter("clementinegap_retries_total")), refusals(counter("clementinegap_refusals_total")),
          events(counter("clementinegap_events_total")), store_span(histogram("clementinegap_store_seconds")),
          store_failures(counter("clementinegap_store_failures_total")),
          usage_windows(counter("clementinegap_usage_windows_total"))
    {
        for (const auto& definition : metric_table()) {
            if (definition.kind == metric_kind::gauge) {
                gauges.emplace(definition.name, &gauge(definition));
            }
        }
    }

    class_series& class_of(std::string_view name)
    {
        return kept(classes, name, [&](const std::string& label) {
            const prometheus::Labels labels{{"class", label}};
            class_series series{label,
                                &first_token.Add(labels, latency_buckets),
                                &inter_token.Add(labels, token_buckets),
                                &total.Add(labels, latency_buckets),
                                &tokens.Add(labels),
                                &good_tokens.Add(labels),
                                &wasted_tokens.Add(labels),
                                &good_requests.Add(labels),
                                &retries.Add(labels),
                                {},
                                {},
                                {}};
            series.totals.name = label;
            return series;
        });
    }

    void count_end(class_series& series, const measured_request& request)
    {
        auto& by_code = request.target_met ? series.met : series.missed;
        kept(by_code, request.code, [&](const std::string& code) {
            return &ended.Add({{"class", series.name},
                               {"code", code},
                               {"target_met", request.target_met ? "true" : "false"}});
        })->Increment();
        const auto tier = std::to_string(request.tier);
        kept(queue_waits, tier, [&](const std::string& label) {
            return &queue_wait.Add({{"tier", label}}, latency_buckets);
        })->Observe(request.queue_wait);
        if (!request.ok) {
            kept(refused, std::string(request.code) + "/" + tier, [&](const std::string& /*label*/) {
                return &refusals.Add({{"code", std::string(request.code)}, {"tier", tier}});
            })->Increment();
        }
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& ended;
    prometheus::Family<prometheus::Histogram>& first_token;
    prometheus::Family<prometheus::Histogram>& inter_token;
    prometheus::Family<prometheus::Histogram>& total;
    prometheus::Family<prometheus::Histogram>& queue_wait;
    prometheus::Family<prometheus::Counter>& tokens;
    prometheus::Family<prometheus::Counter>& good_tokens;
    prometheus::Family<prometheus::Counter>& wasted_tokens;
    prometheus::Family<prometheus::Counter>& good_requests;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Counter>& refusals;
    prometheus::Family<prometheus::Counter>& events;
    prometheus::Family<prometheus::Histogram>& store_span;
    prometheus::Family<prometheus::Counter>& store_failures;
    prometheus::Family<prometheus::Counter>& usage_windows;
    std::mutex mutex;
    by_label<class_series> classes;
    by_label<prometheus::Histogram*> queue_waits;
    by_label<prometheus::Counter*> refused;
    by_label<prometheus::Counter*> kinds;
    by_label<store_series> operations;
    by_label<prometheus::Counter*> usage_results;
    by_label<prometheus::Gauge*> gauges;

private:
    prometheus::Family<prometheus::Counter>& counter(std::string_view name)
    {
        const auto& definition = row(name);
        return prometheus::BuildCounter()
            .Name(std::string(name))
            .Help(std::string(definition.help))
            .Register(registry);
    }

    prometheus::Family<prometheus::Histogram>& histogram(std::string_view name)
    {
        const auto& definition = row(name);
        return prometheus::BuildHistogram()
            .Name(std::string(name))
            .Help(std::string(definition.help))
            .Register(registry);
    }

    prometheus::Gauge& gauge(const metric_definition& definition)
    {
        return prometheus::BuildGauge()
            .Name(std::string(definition.name))
            .Help(std::string(definition.help))
            .Register(registry)
            .Add({});
    }
};

metrics::metrics() : implementation_(std::make_unique<implementation>()) {}

metrics::~metrics() = default;

void metrics::request_ended(const measured_request& request)
{
    auto& self = *implementation_;
    const std::lock_guard lock(self.mutex);
    auto& series = self.class_of(request.class_name);
    self.count_end(series, request);
    if (request.first_token > 0) {
        series.first_token->Observe(request.first_token);
    }
    if (request.tokens > 1 && request.first_token > 0) {
        series.inter_token->Observe((request.total - request.first_token) / (request.tokens - 1));
    }
    series.total->Observe(request.total);
    series.tokens->Increment(request.tokens);
    series.wasted_tokens->Increment(request.wasted_tokens);
    if (request.dispatches > 1) {
        series.retries->Increment(request.dispatches - 1);
    }
    if (request.target_met) {
        series.good_requests->Increment();
        series.good_tokens->Increment(request.tokens);
    }
    series.totals.ended += 1;
    series.totals.ok += request.ok ? 1 : 0;
    series.totals.target_met += request.target_met ? 1 : 0;
    series.totals.tokens += request.tokens;
}

void metrics::event_counted(std::string_view kind)
{
    auto& self = *implementation_;
    const std::lock_guard lock(self.mutex);
    kept(self.kinds, kind, [&](const std::string& label) {
        return &self.events.Add({{"kind", label}});
    })->Increment();
}

void metrics::usage_window_ended(std::string_view result)
{
    auto& self = *implementation_;
    const std::lock_guard lock(self.mutex);
    kept(self.usage_results, result, [&](const std::string& label) {
        return &self.usage_windows.Add({{"result", label}});
    })->Increment();
}

void metrics::store_called(std::string_view operation, double span, bool ok)
{
    auto& self = *implementation_;
    const std::lock_guard lock(self.mutex);
    const auto& series = kept(self.operations, operation, [&](const std::string& label) {
        return store_series{&self.store_span.Add({{"operation", label}}, latency_buckets),
                            &self.store_failures.Add({{"operation", label}})};
    });
    series.span->Observe(span);
    series.failures->Increment(ok ? 0 : 1);
}

void metrics::set(std::string_view name, double value)
{
    const auto found = implementation_->gauges.find(name);
    if (found != implementation_->gauges.end()) {
        found->second->Set(value);
    }
}

std::vector<class_totals> metrics::totals() const
{
    const std::lock_guard lock(implementation_->mutex);
    std::vector<class_totals> result;
    for (const auto& [name, series] : implementation_->classes) {
        result.push_back(series.totals);
    }
    return result;
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(implementation_->registry.Collect());
}

} // namespace clementinegap
