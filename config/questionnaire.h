#pragma once

#include "config/configuration.h"
#include "core/outcome.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The questionnaire that a team fills in instead of writing a configuration.

namespace clementinegap {

/// Who waits for the response.
enum class waiting_party : std::uint8_t { person_in_front, worker_on_site, office_today, nobody };

/// The consequence of a late response.
enum class lateness_harm : std::uint8_t { work_stops, person_leaves, annoyance, none };

/// The consequence of running a request twice.
enum class repetition_harm : std::uint8_t { money_or_damage, extra_work, none, lookup };

enum class answer_length : std::uint8_t { short_answer, page, document };

/// A kind of work of a team.
struct work_answer {
    std::string name;
    std::string served_by; ///< The model or service.
    bool is_service{false};
    waiting_party who_waits{waiting_party::office_today};
    lateness_harm late{lateness_harm::annoyance};
    repetition_harm repeated{repetition_harm::none};
    answer_length length{answer_length::page};
    std::string path;               ///< Requests under this path without a class header belong to this work.
    std::vector<std::string> after; ///< Work that is served before this one, regardless of the other answers.
    double peak_requests_per_second{0}; ///< 0: not specified.
};

/// A calling workspace.
struct caller_answer {
    std::string workspace;
    std::string key_sha256;
    double share{1};
    double requests_per_second{0}; ///< 0: no limit.
};

/// The known servers of a model or service.
struct capacity_answer {
    std::string model;
    int servers{0};
    int requests_at_once{0}; ///< Per server.
};

/// The answers of one team.
struct questionnaire {
    std::string team;
    std::vector<work_answer> work;
    std::vector<caller_answer> callers;
    std::vector<capacity_answer> capacity;
    std::optional<std::uint64_t> based_on; ///< The configuration version that the answers are based on.
    std::optional<time_point> ends_at;
};

/// Parses and validates a questionnaire. Fails with `invalid_questionnaire` and a list of all faults.
outcome<questionnaire> questionnaire_from_text(std::string_view text);

/// Generates the configuration from the teams' answers. The result is deterministic.
outcome<configuration> generate_configuration(const std::vector<questionnaire>& teams);

/// A generated value and the answers it results from.
struct explanation {
    std::string path;
    std::string value;
    std::string because;
};

/// Explains each value of the classes, limits and the shutdown plan by the answers it results from.
outcome<std::vector<explanation>> explain_configuration(const std::vector<questionnaire>& teams);

} // namespace clementinegap
