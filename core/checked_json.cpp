#include "core/checked_json.h"

#include <algorithm>
#include <numeric>

namespace clementinegap {
namespace {

constexpr std::size_t max_excerpt_characters = 60;
constexpr int max_depth = 64;

std::string abbreviated(const json& value)
{
    auto text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_excerpt_characters) {
        text.resize(max_excerpt_characters);
        text += "...";
    }
    return text;
}

std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t above = row[j];
            const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            row[j] = std::min({substitution, above + 1, row[j - 1] + 1});
            diagonal = above;
        }
    }
    return row.back();
}

} // namespace

std::string json_fault::text() const
{
    return path + ": found " + found + "; allowed: " + allowed;
}

void fault_list::add(std::string path, std::string found, std::string allowed)
{
    faults_.push_back({std::move(path), std::move(found), std::move(allowed)});
}

std::string fault_list::text() const
{
    std::string all;
    for (const auto& fault : faults_) {
        all += fault.text();
        all += '\n';
    }
    return all;
}

object_reader::object_reader(const json& value, std::string path, fault_list& faults)
    : value_(value), path_(std::move(path)), faults_(faults)
{
    if (!value_.is_object()) {
        faults_.add(path_.empty() ? "(document)" : path_, abbreviated(value_), "an object");
    }
}

std::string object_reader::path_of(std::string_view name) const
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

bool object_reader::has(std::string_view name) const
{
    return value_.is_object() && value_.contains(name);
}

void object_reader::fault(std::string_view name, std::string found, std::string allowed)
{
    faults_.add(path_of(name), std::move(found), std::move(allowed));
}

const json* object_reader::member(std::string_view name, bool required, std::string_view allowed)
{
    known_.emplace(name);
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto found = value_.find(name);
    if (found != value_.end()) {
        return &*found;
    }
    if (required) {
        fault(name, "nothing", std::string(allowed));
    }
    return nullptr;
}

std::string object_reader::string(std::string_view name, std::optional<std::string> fallback)
{
    const json* found = member(name, !fallback, "a string");
    if (found == nullptr) {
        return fallback.value_or("");
    }
    if (!found->is_string()) {
        fault(name, abbreviated(*found), "a string");
        return fallback.value_or("");
    }
    return found->get<std::string>();
}

std::int64_t object_reader::integer(std::string_view name, std::int64_t low, std::int64_t high,
                                    std::optional<std::int64_t> fallback)
{
    const auto allowed = "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    const json* found = member(name, !fallback, allowed);
    if (found == nullptr) {
        return fallback.value_or(low);
    }
    const bool fits =
        found->is_number_integer() &&
        !(found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
    if (!fits || found->get<std::int64_t>() < low || found->get<std::int64_t>() > high) {
        fault(name, abbreviated(*found), allowed);
        return fallback.value_or(low);
    }
    return found->get<std::int64_t>();
}

double object_reader::number(std::string_view name, double low, double high, std::optional<double> fallback)
{
    const auto allowed = "a number from " + json(low).dump() + " to " + json(high).dump();
    const json* found = member(name, !fallback, allowed);
    if (found == nullptr) {
        return fallback.value_or(low);
    }
    if (!found->is_number() || found->get<double>() < low || found->get<double>() > high) {
        fault(name, abbreviated(*found), allowed);
        return fallback.value_or(low);
    }
    return found->get<double>();
}

bool object_reader::boolean(std::string_view name, std::optional<bool> fallback)
{
    const json* found = member(name, !fallback, "true or false");
    if (found == nullptr) {
        return fallback.value_or(false);
    }
    if (!found->is_boolean()) {
        fault(name, abbreviated(*found), "true or false");
        return fallback.value_or(false);
    }
    return found->get<bool>();
}

std::string object_reader::choice(std::string_view name, std::span<const std::string_view> words,
                                  std::optional<std::string> fallback)
{
    std::string allowed = "one of";
    for (const auto word : words) {
        allowed += " \"" + std::string(word) + "\"";
    }
    const json* found = member(name, !fallback, allowed);
    if (found == nullptr) {
        return fallback.value_or(std::string(words.front()));
    }
    if (!found->is_string() ||
        std::ranges::find(words, found->get_ref<const std::string&>()) == words.end()) {
        fault(name, abbreviated(*found), allowed);
        return fallback.value_or(std::string(words.front()));
    }
    return found->get<std::string>();
}

std::vector<std::string> object_reader::strings(std::string_view name, bool required)
{
    std::vector<std::string> result;
    const json* found = member(name, required, "an array of strings");
    if (found == nullptr) {
        return result;
    }
    if (!found->is_array()) {
        fault(name, abbreviated(*found), "an array of strings");
        return result;
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        const json& item = (*found)[i];
        if (item.is_string()) {
            result.push_back(item.get<std::string>());
        } else {
            faults_.add(path_of(name) + "[" + std::to_string(i) + "]", abbreviated(item), "a string");
        }
    }
    return result;
}

void object_reader::objects(std::string_view name,
                            const std::function<void(const json&, const std::string&)>& read, bool required)
{
    const json* found = member(name, required, "an array of objects");
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        fault(name, abbreviated(*found), "an array of objects");
        return;
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        read((*found)[i], path_of(name) + "[" + std::to_string(i) + "]");
    }
}

void object_reader::object(std::string_view name,
                           const std::function<void(const json&, const std::string&)>& read, bool required)
{
    const json* found = member(name, required, "an object");
    if (found != nullptr) {
        read(*found, path_of(name));
    }
}

void object_reader::finish()
{
    if (!value_.is_object()) {
        return;
    }
    const std::vector<std::string> known(known_.begin(), known_.end());
    for (const auto& [name, ignored] : value_.items()) {
        if (known_.contains(name)) {
            continue;
        }
        const auto nearest = nearest_word(name, known);
        fault(name, "an unknown name",
              nearest.empty() ? "a name of the reference" : "did you mean \"" + nearest + "\"?");
    }
}

std::optional<json> parse_json_with_comments(std::string_view text, fault_list& faults)
{
    bool too_deep = false;
    const json::parser_callback_t check_depth = [&](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > max_depth;
        return !too_deep;
    };
    try {
        auto document = json::parse(text, check_depth, true, true);
        if (!too_deep) {
            return document;
        }
        faults.add("(document)", "more than " + std::to_string(max_depth) + " levels",
                   "a document that is nested less");
    } catch (const json::parse_error& problem) {
        faults.add("(document)", "a syntax error at byte " + std::to_string(problem.byte),
                   "JSON with comments");
    } catch (const json::out_of_range&) {
        faults.add("(document)", "a number that no floating-point value can hold", "numbers up to 1.7e308");
    } catch (const json::exception&) {
        faults.add("(document)", "a number that is too large", "numbers within the range of their member");
    }
    return std::nullopt;
}

std::string nearest_word(std::string_view word, std::span<const std::string> words)
{
    constexpr std::size_t max_distance = 3;
    std::string best;
    std::size_t best_distance = max_distance + 1;
    for (const auto& candidate : words) {
        const auto distance = edit_distance(word, candidate);
        if (distance < best_distance) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

} // namespace clementinegap
