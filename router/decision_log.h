#pragma once

#include "observability/bounded_output.h"
#include "routing/router_events.h"

#include <memory>
#include <spdlog/logger.h>
#include <string>
#include <unistd.h>

namespace clementinegap {

/// The daemon's log on standard output: JSON lines, formatted by spdlog into a bounded buffer that `flush`
/// writes between events. Logging never blocks and its rate is limited.
class decision_log {
public:
    /// \param descriptor the file to write to; tests pass another one than standard output.
    decision_log(const std::string& vm, const std::string& level, int descriptor = STDOUT_FILENO);

    void write(const log_decision& line);
    void info(std::string_view event, std::string_view detail);
    void warn(std::string_view event, std::string_view detail);
    void flush(time_point now) { output_->flush(now.time_since_epoch().count()); }

private:
    static constexpr std::size_t buffer_bytes = std::size_t{64} * 1024;
    /// About 250 lines a second; lines beyond that are dropped and counted.
    static constexpr std::size_t bytes_per_second = std::size_t{48} * 1024;

    std::shared_ptr<bounded_output> output_;
    std::shared_ptr<spdlog::logger> logger_;
};

} // namespace clementinegap
