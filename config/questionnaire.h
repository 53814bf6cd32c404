#pragma once

#include "config/configuration.h"
#include "core/outcome.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The questionnaire that a team answers instead of writing configuration.

namespace clementinegap {

/// Who waits while the answer is not there.
enum class waiting_party : std::uint8_t { person_in_front, worker_on_site, office_today, nobody };

/// What lateness does.
enum class lateness_harm : std::uint8_t { work_stops, person_leaves, annoyance, none };

/// What running a request twice does.
enum class repetition_harm : std::uint8_t { money_or_damage, extra_work, none, lookup };

enum class answer_length : std::uint8_t { short_answer, page, document };

/// One kind of work of a team.
struct work_answer {
    std::string name;
    std::string served_by; ///< The model or service.
    bool is_service{false};
    waiting_party who_waits{waiting_party::office_today};
    lateness_harm late{lateness_harm::annoyance};
    repetition_harm repeated{repetition_harm::none};
    answer_length length{answer_length::page};
    std::string path;               ///< Requests under this path belong to the work unless they name a class.
    std::vector<std::string> after; ///< Works that are served before this one, whatever else was answered.
    double peak_requests_per_second{0}; ///< 0: not stated.
};

/// One workspace that calls.
struct caller_answer {
    std::string workspace;
    std::string key_sha256;
    double share{1};
    double requests_per_second{0}; ///< 0: no limit.
};

/// The servers that a team knows to run one model or service.
struct capacity_answer {
    std::string model;
    int servers{0};
    int requests_at_once{0}; ///< By one server.
};

/// The answers of one team.
struct questionnaire {
    std::string team;
    std::vector<work_answer> work;
    std::vector<caller_answer> callers;
    std::vector<capacity_answer> capacity;
    std::optional<std::uint64_t> based_on; ///< The version that the answers were read with.
    std::optional<time_point> ends_at;
};

/// Reads and checks the answers; `invalid_questionnaire` with every fault.
outcome<questionnaire> questionnaire_from_text(std::string_view text);

/// The configuration that the teams' answers give: the same answers always give the same configuration.
outcome<configuration> generate_configuration(const std::vector<questionnaire>& teams);

/// One generated value and the answers that gave it.
struct explanation {
    std::string path;
    std::string value;
    std::string because;
};

/// The answers behind each value of the classes, limits and the shutdown plan.
outcome<std::vector<explanation>> explain_configuration(const std::vector<questionnaire>& teams);

} // namespace clementinegap
