#include "main/command_status.h"

#include "core/checked_json.h"
#include "main/admin_client.h"

#include <cstdio>
#include <map>

namespace clementinegap {
namespace {

constexpr std::uint16_t http_ok = 200;

struct class_line {
    int tier{0};
    std::int64_t target_ms{0};
    std::uint64_t ended{0};
    std::uint64_t ok{0};
    std::uint64_t met{0};
};

/// One daemon's part; a daemon that did not answer has only what the platform lists.
json status_of(const admin_target& target, const admin_answer& answer)
{
    auto status = json::parse(answer.body, nullptr, false);
    if (answer.status == http_ok && status.is_object()) {
        status["reached"] = true;
        status["listed_leaving"] = target.leaving;
        return status;
    }
    return {{"vm", target.vm.empty() ? target.url : target.vm},
            {"role", target.role},
            {"zone", target.zone},
            {"region", target.region},
            {"reached", false},
            {"listed_leaving", target.leaving}};
}

std::map<std::string, class_line> classes_of(const json& daemons)
{
    std::map<std::string, class_line> lines;
    for (const auto& daemon : daemons) {
        const auto part = daemon.value("role_part", json::object());
        for (const auto& rule : part.is_object() ? part.value("rules", json::array()) : json::array()) {
            auto& line = lines[rule.value("name", "")];
            line.tier = rule.value("tier", 0);
            line.target_ms = rule.value("target_ms", std::int64_t{0});
        }
        for (const auto& item : daemon.value("classes", json::array())) {
            auto& line = lines[item.value("name", "")];
            line.ended += item.value("ended", std::uint64_t{0});
            line.ok += item.value("ok", std::uint64_t{0});
            line.met += item.value("target_met", std::uint64_t{0});
        }
    }
    return lines;
}

std::string state_of(const json& daemon)
{
    if (!daemon.value("reached", false)) {
        return daemon.value("listed_leaving", false) ? "leaving, not reached" : "NOT REACHED";
    }
    if (daemon.value("draining", false)) {
        return "draining";
    }
    return daemon.value("ready", false) ? "ready" : "not ready";
}

std::string load_of(const json& daemon)
{
    const auto part = daemon.value("role_part", json::object());
    if (!part.is_object()) {
        return "";
    }
    if (part.contains("requests_open")) {
        return std::to_string(part.value("requests_open", 0)) + " open";
    }
    if (part.contains("slots")) {
        return std::to_string(part.value("busy_slots", 0)) + "/" + std::to_string(part.value("slots", 0)) +
               " slots, " + std::to_string(part.value("queued", 0)) + " queued";
    }
    return "";
}

void print_daemons(const json& daemons)
{
    std::printf("%-18s %-9s %-12s %-12s %-8s %-8s %-20s %s\n", "VM", "ROLE", "ZONE", "REGION", "VERSION",
                "CONFIG", "STATE", "LOAD");
    for (const auto& daemon : daemons) {
        std::printf("%-18s %-9s %-12s %-12s %-8s %-8llu %-20s %s\n", daemon.value("vm", "").c_str(),
                    daemon.value("role", "").c_str(), daemon.value("zone", "").c_str(),
                    daemon.value("region", "").c_str(), daemon.value("program_version", "-").c_str(),
                    static_cast<unsigned long long>(daemon.value("configuration_version", std::uint64_t{0})),
                    state_of(daemon).c_str(), load_of(daemon).c_str());
    }
}

void print_classes(const json& daemons)
{
    std::printf("\n%-24s %4s %10s %10s %10s %12s\n", "CLASS", "TIER", "TARGET ms", "ENDED", "FAILED",
                "IN TARGET");
    for (const auto& [name, line] : classes_of(daemons)) {
        const auto share = line.ended == 0 ? std::string("-")
                                           : std::to_string(line.met * 1000 / line.ended / 10) + "." +
                                                 std::to_string(line.met * 1000 / line.ended % 10) + " %";
        std::printf("%-24s %4d %10lld %10llu %10llu %12s\n", name.c_str(), line.tier,
                    static_cast<long long>(line.target_ms), static_cast<unsigned long long>(line.ended),
                    static_cast<unsigned long long>(line.ended - line.ok), share.c_str());
    }
}

/// What deserves a look: each line a thing that is not as it should be.
std::vector<std::string> troubles(const json& daemons)
{
    std::vector<std::string> lines;
    std::uint64_t newest = 0;
    for (const auto& daemon : daemons) {
        newest = std::max(newest, daemon.value("configuration_version", std::uint64_t{0}));
    }
    for (const auto& daemon : daemons) {
        const auto vm = daemon.value("vm", "");
        if (!daemon.value("reached", false)) {
            lines.push_back(vm + " does not answer");
            continue;
        }
        if (daemon.value("configuration_version", std::uint64_t{0}) < newest) {
            lines.push_back(vm + " has an older configuration than version " + std::to_string(newest));
        }
        const auto part = daemon.value("role_part", json::object());
        for (const auto& upstream :
             part.is_object() ? part.value("upstreams", json::array()) : json::array()) {
            const auto name = upstream.value("vm", "") + " as " + vm + " sees it";
            if (!upstream.value("connected", false)) {
                lines.push_back(name + ": no connection");
            } else if (upstream.value("slowed", false)) {
                lines.push_back(name + ": slowed");
            } else if (upstream.value("leaving", false)) {
                lines.push_back(name + ": leaving");
            }
        }
    }
    return lines;
}

} // namespace

exit_code status_command(const parsed_words& words)
{
    admin_client client;
    const auto targets = client.targets(words);
    if (!targets) {
        std::fprintf(stderr, "%s\n", targets.error().message.c_str());
        return targets.error().code == result_code::invalid_settings ? exit_code::usage
                                                                     : exit_code::unreachable;
    }
    const auto answers = client.ask(targets.value(), "/status");
    json daemons = json::array();
    std::size_t reached = 0;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        daemons.push_back(status_of(targets.value()[i], answers[i]));
        reached += daemons.back().value("reached", false) ? 1 : 0;
    }
    const auto lines = troubles(daemons);
    if (words.has("json")) {
        std::printf("%s\n", json{{"daemons", daemons}, {"troubles", lines}}.dump(4).c_str());
    } else {
        print_daemons(daemons);
        print_classes(daemons);
        std::printf("\n%s\n", lines.empty() ? "nothing to look at" : "TO LOOK AT");
        for (const auto& line : lines) {
            std::printf("  %s\n", line.c_str());
        }
    }
    if (reached == 0) {
        return exit_code::unreachable;
    }
    return lines.empty() ? exit_code::ok : exit_code::refused;
}

} // namespace clementinegap
