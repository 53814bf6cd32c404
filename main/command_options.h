#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// One option of a command, as help, completion and the parser see it.
struct option_spec {
    std::string_view name;     ///< Without the dashes.
    std::string_view argument; ///< The argument's name; empty for a flag.
    std::string_view help;
};

/// A command's words after parsing: options by name and what is left.
class parsed_words {
public:
    bool has(std::string_view option) const { return options_.find(option) != options_.end(); }
    /// The last value given; empty without one.
    std::string value(std::string_view option) const;
    /// All values, in the order given.
    std::vector<std::string> values(std::string_view option) const;
    const std::vector<std::string>& positionals() const { return positionals_; }

    void add(std::string_view option, std::string value);
    void add_positional(std::string value) { positionals_.push_back(std::move(value)); }

private:
    std::map<std::string, std::vector<std::string>, std::less<>> options_;
    std::vector<std::string> positionals_;
};

/// Parses with popt; what is wrong is told on standard error and nothing is returned.
std::optional<parsed_words> parse_words(std::string_view command, const std::vector<option_spec>& options,
                                        const std::vector<std::string>& words);

} // namespace clementinegap
