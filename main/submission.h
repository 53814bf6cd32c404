#pragma once

#include "config/configuration.h"
#include "config/head_row.h"
#include "core/outcome.h"
#include "ports/platform_port.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementinegap {

/// The answers of one team as they are in the table.
struct team_row {
    std::string answers;
    std::uint64_t version{0};  ///< The configuration that was accepted with them.
    std::uint64_t revision{0}; ///< Of the row; 0 when it is absent.
};

/// One accepted submission, for `config history`.
struct history_row {
    std::uint64_t version{0};
    std::string submission;
    std::string team;
    std::int64_t at_unix_ms{0};
    std::vector<std::string> changes;
};

/// What a deployment has been given, read at one moment.
struct submitted_state {
    std::uint64_t head_revision{0};
    head_row head;
    std::uint64_t current_revision{0};
    std::optional<configuration> current;
    std::map<std::string, team_row> teams;
};

/// Answers that a team hands in.
struct submission {
    std::string id; ///< Unique; names the submission when its answer is lost.
    std::string team;
    std::string answers;
    /// The version with which the answers that these were made from were accepted; 0 for a team's first.
    std::optional<std::uint64_t> based_on;
    std::int64_t at_unix_ms{0};
};

enum class verdict : std::uint8_t {
    accepted,  ///< Committed, in force everywhere within seconds.
    unchanged, ///< These answers are in force already.
    refused,   ///< Nothing of it is in force or will be.
    unreached, ///< The store could not be reached; nothing of it is in force or will be.
    unknown    ///< The store took it or not; the text names the command that tells.
};

struct submission_report {
    verdict what{verdict::refused};
    std::uint64_t version{0};
    std::string text;
    std::string configuration_text{}; ///< With `accepted`, what is in force; empty when it was read back.
};

/// Hands answers in: one transaction replaces the team's answers, if they are still those that the new ones
/// were made from, and the configuration generated from all teams' answers. A lost answer is read back by the
/// submission's id; an outage is waited for within `patience`.
class submitter {
public:
    using wait_function = std::function<void(duration)>;

    /// `wait` passes the time between two tries.
    submitter(table_port& table, duration patience, wait_function wait);

    submission_report submit(const submission& work);
    /// Whether a submission was accepted, and with which version; nothing when the store cannot be reached.
    std::optional<std::optional<std::uint64_t>> find_submission(const std::string& id);
    outcome<submitted_state> read_state();
    outcome<std::vector<history_row>> read_history();

private:
    struct plan {
        configuration value;
        std::vector<table_operation> operations;
    };

    outcome<plan> prepare(const submission& work, const submitted_state& state) const;
    std::optional<submission_report> check_base(const submission& work, const submitted_state& state) const;
    std::optional<submission_report> try_once(const submission& work);
    submission_report out_of_patience(const submission& work) const;
    bool pause();
    transaction_result transact(std::vector<table_operation> operations);
    read_result read(const std::string& table, const std::string& key);
    scan_result scan(const std::string& table, const std::string& prefix);

    table_port& table_;
    duration patience_;
    wait_function wait_;
    duration waited_{0};
    duration next_wait_{0};
    bool maybe_written_{false};
    bool lost_race_{false};
};

} // namespace clementinegap
