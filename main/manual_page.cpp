#include "main/manual_page.h"

#include "core/result_code.h"

#include <algorithm>

namespace clementinegap {
namespace {

/// Escapes what the man macros would take for commands: hyphens, backslashes and leading dots.
std::string escaped(std::string_view text)
{
    std::string result;
    bool line_start = true;
    for (const char letter : text) {
        if (letter == '\\') {
            result += "\\e";
        } else if (letter == '-') {
            result += "\\-";
        } else {
            result += (letter == '.' && line_start ? "\\&" : "") + std::string(1, letter);
        }
        line_start = letter == '\n';
    }
    return result;
}

std::string in_upper_case(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
                           [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    return result;
}

} // namespace

std::string manual_page(const command& about)
{
    const std::string name = "clementinegap-" + std::string(about.name);
    std::string page = ".TH " + in_upper_case(name) + " 1\n.SH NAME\n" + escaped(name) + " \\- " +
                       escaped(about.summary) + "\n.SH SYNOPSIS\n.B clementinegap " +
                       std::string(about.name) + "\n[OPTION...] " + escaped(about.arguments) +
                       "\n.SH DESCRIPTION\n" + escaped(about.description) + "\n.SH OPTIONS\n";
    for (const auto& option : about.options) {
        page += ".TP\n\\fB\\-\\-" + escaped(option.name) + "\\fR";
        page += option.argument.empty() ? "" : " \\fI" + escaped(option.argument) + "\\fR";
        page += "\n" + escaped(option.help) + "\n";
    }
    page +=
        ".TP\n\\fB\\-\\-help\\fR\nshow the usage\n.SH EXAMPLES\n.nf\n" + escaped(about.examples) +
        "\n.fi\n.SH EXIT STATUS\n0 done, 1 refused, 2 usage, 3 unreachable, 4 unknown whether a change was "
        "accepted.\n";
    return page;
}

std::string codes_page()
{
    std::string page =
        "# Result codes\n\n"
        "Written by misc/generate_docs.sh from `core/result_code.cpp`; a test compares them. A code "
        "keeps its number\nfor ever. Callers see the number, the name and `ran` in the body of a "
        "failure (docs/caller-interface.md).\n\n"
        "| code | HTTP status | name | meaning |\n|---|---|---|---|\n";
    for (const auto& row : result_codes()) {
        page += "| " + std::to_string(static_cast<int>(row.code)) + " | " + std::to_string(row.http_status) +
                " | `" + std::string(row.name) + "` | " + std::string(row.text) + " |\n";
    }
    return page + "\n## Exit codes of the command line\n\n"
                  "| exit code | meaning |\n|---|---|\n"
                  "| 0 | Done. |\n"
                  "| 1 | Refused: the deployment or a check said no; for `status`, there is something to "
                  "look at. |\n"
                  "| 2 | Usage: the command line or a file is wrong. |\n"
                  "| 3 | Unreachable: a daemon or the platform could not be reached. |\n"
                  "| 4 | Unknown: whether a change was accepted is not known. |\n";
}

} // namespace clementinegap
