#include "main/command_codes.h"

#include "core/checked_json.h"
#include "core/result_code.h"

#include <cstdio>

namespace clementinegap {

exit_code codes_command(const parsed_words& words)
{
    json rows = json::array();
    for (const auto& entry : result_codes()) {
        rows.push_back({{"code", static_cast<int>(entry.code)},
                        {"http_status", entry.http_status},
                        {"name", std::string(entry.name)},
                        {"text", std::string(entry.text)}});
        if (!words.has("json")) {
            std::printf("%4d  %3d  %-22s %s\n", static_cast<int>(entry.code), entry.http_status,
                        std::string(entry.name).c_str(), std::string(entry.text).c_str());
        }
    }
    if (words.has("json")) {
        std::printf("%s\n", rows.dump(4).c_str());
    }
    return exit_code::ok;
}

exit_code version_command(const parsed_words& words)
{
    std::puts(words.has("json") ? R"({"version":")" CG_VERSION R"("})" : "clementinegap " CG_VERSION);
    return exit_code::ok;
}

} // namespace clementinegap
