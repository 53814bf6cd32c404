#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Validating reader for JSON with comments. It reports all faults of a document at once, each with its path,
/// the value found and the values allowed.

namespace clementinegap {

using json = nlohmann::json;

/// One fault in a document.
struct json_fault {
    std::string path;
    std::string found;
    std::string allowed;

    std::string text() const;
};

/// Collects the faults of one document.
class fault_list {
public:
    void add(std::string path, std::string found, std::string allowed);
    bool empty() const { return faults_.empty(); }
    std::span<const json_fault> faults() const { return faults_; }

    /// All faults, one per line.
    std::string text() const;

private:
    std::vector<json_fault> faults_;
};

/// Reads the members of one JSON object. Every accessor records the name it was called with; `finish()`
/// reports the members that no accessor read, with the nearest known name. A value without a fallback is
/// required.
class object_reader {
public:
    object_reader(const json& value, std::string path, fault_list& faults);

    std::string string(std::string_view name, std::optional<std::string> fallback = std::nullopt);
    /// An integer within [low, high].
    std::int64_t integer(std::string_view name, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = std::nullopt);
    double number(std::string_view name, double low, double high,
                  std::optional<double> fallback = std::nullopt);
    bool boolean(std::string_view name, std::optional<bool> fallback = std::nullopt);
    /// One of `words`.
    std::string choice(std::string_view name, std::span<const std::string_view> words,
                       std::optional<std::string> fallback = std::nullopt);
    /// The strings of an array; empty when absent and `required` is false.
    std::vector<std::string> strings(std::string_view name, bool required = false);
    /// Calls `read` for each object of an array, with the path of that object.
    void objects(std::string_view name, const std::function<void(const json&, const std::string&)>& read,
                 bool required = false);
    /// Calls `read` for a nested object if it is present.
    void object(std::string_view name, const std::function<void(const json&, const std::string&)>& read,
                bool required = false);
    bool has(std::string_view name) const;
    /// Adds a fault at a member, for checks beyond type and range.
    void fault(std::string_view name, std::string found, std::string allowed);
    std::string path_of(std::string_view name) const;

    /// Reports unknown members.
    void finish();

private:
    const json* member(std::string_view name, bool required, std::string_view allowed);

    const json& value_;
    std::string path_;
    fault_list& faults_;
    std::set<std::string, std::less<>> known_;
};

/// Parses JSON with `//` and `/* */` comments; a syntax error becomes a fault at the path "(document)".
std::optional<json> parse_json_with_comments(std::string_view text, fault_list& faults);

/// The entry of `words` with the smallest edit distance to `word`; empty when none is within distance 3.
std::string nearest_word(std::string_view word, std::span<const std::string> words);

} // namespace clementinegap
