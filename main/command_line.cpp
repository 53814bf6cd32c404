#include "main/command_line.h"

#include "main/command_codes.h"
#include "main/command_completion.h"
#include "main/command_config.h"
#include "main/command_drain.h"
#include "main/command_load.h"
#include "main/command_manual.h"
#include "main/command_order.h"
#include "main/command_record.h"
#include "main/command_simulate.h"
#include "main/command_status.h"
#include "main/command_timeline.h"

#include <algorithm>
#include <cstdio>

namespace clementinegap {
namespace {

constexpr option_spec json_option{"json", "", "print JSON instead of a table"};
constexpr option_spec platform_option{"platform", "URL", "the platform, whose VM list names the daemons"};
constexpr option_spec admin_option{"admin", "URL", "admin address of one daemon; may be given many times"};

/// Adapts a command that takes its words as they are.
std::function<exit_code(const parsed_words&)>
on_words(exit_code (*run)(const std::vector<std::string>& words))
{
    return [run](const parsed_words& words) { return run(words.positionals()); };
}

std::vector<command> make_commands()
{
    return {
        {"codes",
         "",
         "list the numbered result codes",
         "Prints number, HTTP status, name and meaning of each result code, as callers see them.",
         "clementinegap codes\nclementinegap codes --json",
         {json_option},
         codes_command},
        {"completion",
         "bash",
         "print the shell's completion script",
         "Prints a script that completes subcommands and options.",
         "clementinegap completion bash > /etc/bash_completion.d/clementinegap",
         {},
         completion_command},
        {"config",
         "generate|check|diff|submit|show|history [FILE...]",
         "generate, submit and show configurations",
         "Generates the configuration from questionnaires, checks it, shows what a submission would change, "
         "submits it to the platform, or shows what is in force and how it came about.",
         "clementinegap config generate --explain lanyu.questionnaire.json\n"
         "clementinegap config submit --platform http://10.0.0.2:7000 --based-on 3 lanyu.questionnaire.json",
         {platform_option,
          {"based-on", "VERSION", "the version with which the answers were read that these were made from"},
          {"submission", "ID", "what became of one submission, for history"},
          {"wait-ms", "MS", "how long to wait for the platform"},
          {"ca-file", "FILE", "authority of the daemons' certificates, for submit"},
          {"certificate-file", "FILE", "certificate of this operator, named operator.NAME"},
          {"key-file", "FILE", "its key"},
          {"explain", "", "name the answer behind each generated value"},
          json_option},
         config_command},
        {"drain",
         "VM",
         "stop one daemon gracefully",
         "Asks the daemon of a VM to take nothing new, to finish what it has and to exit. Prints when the "
         "order is "
         "accepted; follow it with status.",
         "clementinegap drain upstream-3 --platform http://10.0.0.2:7000",
         {platform_option, admin_option, json_option},
         drain_command},
        {"load",
         "latency|throughput ...",
         "measure a deployment under load",
         "Sends an open-loop load and reports what the path adds, or what arrives.",
         "clementinegap load latency http://10.0.0.31:8000 http://10.0.0.21:8080 KEY",
         {},
         on_words(load_command)},
        {"manual",
         "COMMAND|codes-page",
         "print a manual page",
         "Prints the manual page of a command in the man macros, or the page of result codes.",
         "clementinegap manual status | man -l -",
         {},
         manual_command},
        {"order",
         "PLATFORM_URL DAEMON_ADMIN_URL VM KIND NAME",
         "order an engine through its daemon, under a lease",
         "Takes the lease of the VM's engine, sends the order through the VM's daemon, and gives the lease "
         "back. Kinds are load_model, unload_model, load_adapter, set_version and set_role.",
         "clementinegap order http://10.0.0.2:7000 http://10.0.0.21:9000 upstream-1 load_model assistant",
         {},
         on_words(order_command)},
        {"questionnaire",
         "new | check FILE | show TEAM",
         "start, check or show a questionnaire",
         "Prints an empty questionnaire, checks a team's and names every field that is wrong, or shows the "
         "answers in force.",
         "clementinegap questionnaire new > lanyu.questionnaire.json\n"
         "clementinegap questionnaire check lanyu.questionnaire.json",
         {platform_option},
         questionnaire_command},
        {"record",
         "show|resolve WORKSPACE KEY",
         "show or settle the run record of a never-repeat request",
         "A never-repeat request with an idempotency key has one run record. A record that stays \"started\" "
         "after "
         "its upstream was lost has an unknown outcome: resends get 409 until an operator finds out what "
         "happened "
         "and settles it. \"ran\" keeps the key used for ever; \"not-run\" removes the record, so that a "
         "resend "
         "runs. The change is made only if the record is still the one that was read.",
         "clementinegap record show shop order-a17 --platform http://10.0.0.2:7000\n"
         "clementinegap record resolve shop order-a17 --as ran --platform http://10.0.0.2:7000",
         {platform_option, {"as", "ran|not-run", "how to settle an unknown outcome"}, json_option},
         record_command},
        {"simulate",
         "PLAN",
         "try placements of generations on modelled engines",
         "Plays the load of a plan against modelled engines, with the decisions of the routing daemon and in "
         "manual time, once for each placement and seed. Prints what the callers of each kind got.",
         "clementinegap simulate simulation/plans/workshop.json --seeds 5\n"
         "clementinegap simulate simulation/plans/crest.json --plot crest.gp && gnuplot crest.gp",
         {{"seeds", "COUNT", "runs of each placement, with seeds from the plan's on"},
          {"placement", "NAME", "only this placement of the plan; may be given many times"},
          {"plot", "FILE", "write a gnuplot script that draws FILE.svg"},
          json_option},
         simulate_command},
        {"status",
         "",
         "the whole deployment at a glance",
         "Reads every daemon and shows VMs, zones, configuration versions, classes against their targets, "
         "queues, "
         "and slowed, quarantined or leaving things.",
         "clementinegap status --platform http://10.0.0.2:7000\nclementinegap status --admin "
         "http://10.0.0.11:9000 "
         "--json",
         {platform_option, admin_option, json_option},
         status_command},
        {"timeline",
         "",
         "events of all processes in one causal order",
         "Merges the event rings of all daemons by hybrid logical time, or the log lines of entry daemons "
         "that "
         "route straight to upstreams. With --explain it tells in words why one request was late, was "
         "refused, "
         "or ran where it did.",
         "clementinegap timeline --platform http://10.0.0.2:7000 --request 00ab34 --explain\n"
         "clementinegap timeline --platform http://10.0.0.2:7000 --class cutting_guide --format trace > "
         "t.json\n"
         "clementinegap timeline --log entry-1.log --log entry-2.log --request 9e7bcf82 --explain",
         {platform_option,
          admin_option,
          {"request", "ID", "only this request"},
          {"class", "NAME", "only this class"},
          {"workspace", "NAME", "only this workspace"},
          {"upstream", "VM", "only this upstream"},
          {"from", "US", "not before this wall time, in microseconds since 1970"},
          {"to", "US", "not after this wall time, in microseconds since 1970"},
          {"format", "text|json|trace", "lines of text, JSON lines, or trace-event JSON"},
          {"explain", "", "tell in words what became of --request"},
          {"log", "FILE",
           "read log lines of entry daemons instead; may be given many times, - is standard input"},
          json_option},
         timeline_command},
        {"version",
         "",
         "print the version",
         "Prints the version of this program.",
         "clementinegap version",
         {json_option},
         version_command},
    };
}

const command* find_command(std::string_view name)
{
    const auto found = std::ranges::find(commands(), name, &command::name);
    return found == commands().end() ? nullptr : &*found;
}

exit_code show_help(const std::vector<std::string>& words)
{
    const auto* about = words.size() > 1 ? find_command(words[1]) : nullptr;
    std::fputs(about == nullptr ? overview_text().c_str() : help_text(*about).c_str(), stdout);
    return exit_code::ok;
}

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size() + 1), ' ');
    return text;
}

} // namespace

std::span<const command> commands()
{
    static const std::vector<command> table = make_commands();
    return table;
}

std::string help_text(const command& about)
{
    constexpr std::size_t option_width = 28;
    std::string text = "usage: clementinegap " + std::string(about.name) + " [OPTION...] " +
                       std::string(about.arguments) + "\n\n" + std::string(about.description) +
                       "\n\noptions:\n";
    for (const auto& option : about.options) {
        const auto argument = option.argument.empty() ? "" : " " + std::string(option.argument);
        text += "  " + padded("--" + std::string(option.name) + argument, option_width) +
                std::string(option.help) + "\n";
    }
    text += "  " + padded("--help", option_width) + "show this help\n\nexamples:\n  ";
    for (const char letter : about.examples) {
        text += letter == '\n' ? "\n  " : std::string(1, letter);
    }
    return text + "\n";
}

std::string overview_text()
{
    constexpr std::size_t name_width = 16;
    std::string text = "usage: clementinegap COMMAND [OPTION...] ...\n\ncommands:\n";
    for (const auto& item : commands()) {
        text += "  " + padded(std::string(item.name), name_width) + std::string(item.summary) + "\n";
    }
    return text +
           "\nclementinegap help COMMAND shows options and examples. Exit codes: 0 done, 1 refused, 2 usage, "
           "3 unreachable, 4 unknown.\n";
}

exit_code run_command(const std::vector<std::string>& words)
{
    if (words.empty()) {
        std::fputs(overview_text().c_str(), stderr);
        return exit_code::usage;
    }
    if (words[0] == "help" || words[0] == "--help") {
        return show_help(words);
    }
    if (words[0] == "--version") {
        return version_command({});
    }
    const auto* found = find_command(words[0]);
    if (found == nullptr) {
        std::fprintf(stderr, "clementinegap: unknown command \"%s\"\n%s", words[0].c_str(),
                     overview_text().c_str());
        return exit_code::usage;
    }
    const std::vector<std::string> rest(words.begin() + 1, words.end());
    if (std::ranges::find(rest, "--help") != rest.end()) {
        std::fputs(help_text(*found).c_str(), stdout);
        return exit_code::ok;
    }
    const auto parsed = parse_words(found->name, found->options, rest);
    return parsed ? found->run(*parsed) : exit_code::usage;
}

} // namespace clementinegap
