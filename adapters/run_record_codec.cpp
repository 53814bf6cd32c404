#include "adapters/run_record_codec.h"

#include "core/base64.h"
#include "core/checked_json.h"

namespace clementinegap {

std::string run_row_key(std::string_view workspace, std::string_view key)
{
    return std::to_string(workspace.size()) + ":" + std::string(workspace) + ":" + std::string(key);
}

std::string run_record_to_text(const run_record& record)
{
    json row{{"workspace", record.workspace},
             {"key", record.key},
             {"fingerprint", record.fingerprint},
             {"attempt", {record.attempt.entry, record.attempt.number}},
             {"upstream", record.upstream},
             {"incarnation", record.incarnation},
             {"claim", record.claim},
             {"phase", record.phase == run_phase::finished ? "finished" : "started"},
             {"code", static_cast<int>(record.code)},
             {"ran", std::string(to_string(record.ran))}};
    if (record.answer) {
        row["answer"] = {{"status", record.answer->status},
                         {"content_type", record.answer->content_type},
                         {"body", base64_encode(record.answer->body)}};
    }
    return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<run_record> run_record_from_text(std::string_view text)
{
    const auto row = json::parse(text, nullptr, false);
    if (!row.is_object()) {
        return std::nullopt;
    }
    try {
        run_record record;
        record.workspace = row.at("workspace").get<std::string>();
        record.key = row.at("key").get<std::string>();
        record.fingerprint = row.at("fingerprint").get<std::string>();
        record.attempt = {row.at("attempt").at(0).get<std::uint64_t>(),
                          row.at("attempt").at(1).get<std::uint64_t>()};
        record.upstream = row.at("upstream").get<std::string>();
        record.incarnation = row.at("incarnation").get<std::uint64_t>();
        record.claim = row.value("claim", std::uint64_t{0});
        record.phase = row.at("phase") == "finished" ? run_phase::finished : run_phase::started;
        record.code = describe(static_cast<result_code>(row.at("code").get<int>())).code;
        const auto ran = row.value("ran", "yes");
        record.ran = ran == "no" ? ran_state::no : ran == "yes" ? ran_state::yes : ran_state::unknown;
        if (row.contains("answer")) {
            const auto& answer = row["answer"];
            auto body = base64_decode(answer.at("body").get<std::string>());
            if (!body) {
                return std::nullopt;
            }
            record.answer = stored_response{answer.at("status").get<std::uint16_t>(),
                                            answer.at("content_type").get<std::string>(), std::move(*body)};
        }
        return record;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace clementinegap
