#include "router/decision_log.h"

#include "observability/logger.h"
#include "observability/timeline.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/sinks/base_sink.h>

namespace clementinegap {
namespace {

/// spdlog sink that writes to the bounded output. It needs no lock: only the event loop's thread logs.
class output_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit output_sink(std::shared_ptr<bounded_output> output) : output_(std::move(output)) {}

private:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        output_->append({line.data(), line.size()});
    }
    void flush_() override {}

    std::shared_ptr<bounded_output> output_;
};

std::string dropped_line(std::string_view vm, std::uint64_t lines, std::int64_t now_us)
{
    return fmt::format(
               R"({{"time":"{}","level":"warning","vm":"{}","event":"log.dropped","detail":"{} lines"}})",
               utc_text(now_us), json_escaped(vm), lines) +
           "\n";
}

} // namespace

decision_log::decision_log(const std::string& vm, const std::string& level, int descriptor)
    : output_(std::make_shared<bounded_output>(
          descriptor, buffer_bytes, bytes_per_second,
          [vm](std::uint64_t lines, std::int64_t now_us) { return dropped_line(vm, lines, now_us); })),
      logger_(std::make_shared<spdlog::logger>("entry", std::make_shared<output_sink>(output_)))
{
    logger_->set_level(spdlog::level::from_str(level));
    logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","vm":")" + json_escaped(vm) +
                             R"(",%v})",
                         spdlog::pattern_time_type::utc);
}

void decision_log::write(const log_decision& line)
{
    // Ids come from callers and names from the configuration, so they may contain any characters.
    logger_->info(R"("event":"{}","request":"{}","upstream":"{}","detail":"{}")", line.event,
                  json_escaped(line.request_id), json_escaped(line.upstream), json_escaped(line.detail));
}

void decision_log::info(std::string_view event, std::string_view detail)
{
    logger_->info(R"("event":"{}","detail":"{}")", event, json_escaped(detail));
}

void decision_log::warn(std::string_view event, std::string_view detail)
{
    logger_->warn(R"("event":"{}","detail":"{}")", event, json_escaped(detail));
}

} // namespace clementinegap
