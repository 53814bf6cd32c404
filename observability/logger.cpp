#include "observability/logger.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace clementinegap {
namespace {

void write(spdlog::level::level_enum level, std::string_view event, std::string_view detail)
{
    // Without open_log, in tests say, spdlog's default logger takes the line.
    spdlog::log(level, R"("event":"{}","detail":"{}")", json_escaped(event), json_escaped(detail));
}

} // namespace

std::string json_escaped(std::string_view text)
{
    auto quoted =
        nlohmann::json(std::string(text)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return quoted.substr(1, quoted.size() - 2);
}

void open_log(std::string_view vm, std::string_view level)
{
    auto logger =
        std::make_shared<spdlog::logger>("clementinegap", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    logger->set_level(spdlog::level::from_str(std::string(level)));
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","vm":")" + json_escaped(vm) +
                            R"(",%v})",
                        spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(std::move(logger));
}

void log_info(std::string_view event, std::string_view detail)
{
    write(spdlog::level::info, event, detail);
}

void log_warning(std::string_view event, std::string_view detail)
{
    write(spdlog::level::warn, event, detail);
}

void log_error(std::string_view event, std::string_view detail)
{
    write(spdlog::level::err, event, detail);
}

} // namespace clementinegap
