#include "fakes/scenario.h"

#include "core/digest.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>

namespace clementinegap {
namespace {

constexpr duration until_mended = seconds(30);
constexpr duration quiet_period = seconds(120);
constexpr std::string_view workspace_name = "shop";
constexpr std::string_view default_tokens = "5";

std::vector<std::string> words_of(const std::string& line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

std::optional<std::int64_t> number_of(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid = error == std::errc{} && end == text.data() + text.size() && value >= 0;
    return valid ? std::optional(value) : std::nullopt;
}

/// "250ms" or "3s".
std::optional<duration> time_of(std::string_view text)
{
    const bool in_milliseconds = text.ends_with("ms");
    if (!text.ends_with("s")) {
        return std::nullopt;
    }
    const auto value = number_of(text.substr(0, text.size() - (in_milliseconds ? 2 : 1)));
    if (!value) {
        return std::nullopt;
    }
    return in_milliseconds ? duration(milliseconds(*value)) : duration(seconds(*value));
}

bool fits(const std::string& pattern, const std::string& word)
{
    if (pattern == "TIME") {
        return time_of(word).has_value();
    }
    if (pattern == "NUMBER") {
        return number_of(word).has_value();
    }
    const bool is_variable =
        std::ranges::all_of(pattern, [](unsigned char c) { return std::isupper(c) != 0; });
    return is_variable || pattern == word;
}

bool is_variable(const std::string& pattern)
{
    return std::ranges::all_of(pattern, [](unsigned char c) { return std::isupper(c) != 0; });
}

/// The words that stand for the pattern's variables; nothing when the line is another sentence.
std::optional<std::vector<std::string>> match(const std::string& pattern, std::span<const std::string> line)
{
    const auto parts = words_of(pattern);
    if (parts.size() != line.size()) {
        return std::nullopt;
    }
    std::vector<std::string> found;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (!fits(parts[i], line[i])) {
            return std::nullopt;
        }
        if (is_variable(parts[i])) {
            found.push_back(line[i]);
        }
    }
    return found;
}

std::string joined(std::span<const std::string> words)
{
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    return text;
}

request_class make_class(const std::string& name, int tier, repeat_rule repeat)
{
    request_class result;
    result.name = name;
    result.tier = tier;
    result.repeat = repeat;
    result.model = "assistant";
    result.deadline = seconds(6);
    result.longest_run = seconds(5);
    return result;
}

std::optional<repeat_rule> rule_of(std::string_view word)
{
    if (word == "repeatable") {
        return repeat_rule::repeatable;
    }
    if (word == "idempotent") {
        return repeat_rule::idempotent;
    }
    return word == "never-repeat" ? std::optional(repeat_rule::never) : std::nullopt;
}

} // namespace

// --- The sentences

const std::vector<scenario::sentence>& scenario::table()
{
    static const std::vector<sentence> sentences{
        {"entries NUMBER", &scenario::add_entries},
        {"upstreams NUMBER with NUMBER slots", &scenario::add_upstreams},
        {"class CLASS is RULE in tier NUMBER with deadline TIME", &scenario::add_class},
        {"the service ends at TIME", &scenario::end_service},
        {"CLASS NAME arrives at ENTRY", &scenario::arrive},
        {"CLASS NAME of NUMBER tokens arrives at ENTRY", &scenario::arrive_long},
        {"CLASS NAME with key KEY arrives at ENTRY", &scenario::arrive_keyed},
        {"CLASS NAME with key KEY of NUMBER tokens arrives at ENTRY", &scenario::arrive_keyed_long},
        {"the caller of NAME hangs up", &scenario::hang_up},
        {"entry ENTRY crashes", &scenario::crash},
        {"entry ENTRY restarts", &scenario::restart},
        {"entry ENTRY freezes", &scenario::freeze},
        {"entry ENTRY thaws", &scenario::thaw},
        {"entry ENTRY drains", &scenario::drain},
        {"upstream UPSTREAM crashes", &scenario::crash},
        {"upstream UPSTREAM restarts", &scenario::restart},
        {"upstream UPSTREAM freezes", &scenario::freeze},
        {"upstream UPSTREAM thaws", &scenario::thaw},
        {"upstream UPSTREAM drains", &scenario::drain},
        {"the engine of UPSTREAM crashes", &scenario::crash_engine},
        {"the engine of UPSTREAM recovers", &scenario::recover_engine},
        {"the engine of UPSTREAM takes NUMBER times as long", &scenario::slow_engine},
        {"the next answer of UPSTREAM breaks off", &scenario::break_answer},
        {"running NAME crashes the engine", &scenario::break_prompt},
        {"the store goes down", &scenario::store_down},
        {"the store comes back", &scenario::store_back},
        {"the store loses the answers to NUMBER changes", &scenario::store_loses},
        {"the store delays NUMBER changes by TIME", &scenario::store_delays},
        {"the store takes TIME", &scenario::store_takes},
        {"the link from ENTRY to UPSTREAM breaks", &scenario::cut},
        {"the link from ENTRY to UPSTREAM heals", &scenario::heal},
        {"an operator settles KEY as not run", &scenario::settle_not_run},
        {"an operator settles KEY as run", &scenario::settle_run},
        {"expect NAME ran at most once", &scenario::expect_at_most_once},
        {"expect NAME ran exactly once", &scenario::expect_once},
        {"expect NAME never ran", &scenario::expect_never_ran},
        {"expect NAME got its whole answer", &scenario::expect_whole},
        {"expect every caller got its whole answer", &scenario::expect_all_whole},
        {"expect NAME failed with CODE", &scenario::expect_failed},
        {"expect NAME failed with CODE and ran WORD", &scenario::expect_failed_ran},
        {"expect NAME ended within TIME", &scenario::expect_within},
        {"expect NAME is open", &scenario::expect_open},
        {"expect NAME is answered", &scenario::expect_answered},
        {"expect every caller answered truthfully", &scenario::expect_truth},
        {"expect no answer was cut off", &scenario::expect_nothing_cut},
        {"expect VM stopped", &scenario::expect_stopped},
        {"expect UPSTREAM started nothing after TIME", &scenario::expect_idle_after}};
    return sentences;
}

std::vector<std::string> scenario::sentences()
{
    std::vector<std::string> patterns;
    for (const auto& row : table()) {
        patterns.push_back(row.pattern);
    }
    return patterns;
}

// --- Reading

scenario::scenario(std::string file, const std::string& text) : file_(std::move(file))
{
    std::istringstream stream(text);
    std::size_t number = 0;
    for (std::string line; std::getline(stream, line);) {
        read_line(++number, line);
    }
    if (ending_.empty()) {
        reject(number, "the story expects nothing");
    }
    std::ranges::stable_sort(story_, {}, &planned_line::at);
}

void scenario::reject(std::size_t line, const std::string& why) const
{
    throw scenario_error(file_ + ":" + std::to_string(line) + ": " + why);
}

void scenario::read_line(std::size_t number, const std::string& line)
{
    const auto all = words_of(line);
    if (all.empty()) {
        return;
    }
    std::span<const std::string> words(all);
    planned_line planned{number, never, nullptr, {}};
    const bool is_timed = words[0] == "at";
    if (is_timed) {
        const auto at = words.size() > 1 ? time_of(words[1]) : std::nullopt;
        if (!at) {
            reject(number, "after 'at' comes a time such as 3s or 250ms");
        }
        planned.at = time_point(*at);
        words = words.subspan(2);
    }
    for (const auto& row : table()) {
        if (auto found = match(row.pattern, words)) {
            planned.what = &row;
            planned.words = std::move(*found);
            break;
        }
    }
    if (planned.what == nullptr) {
        reject(number, "not a sentence of the language: " + joined(words));
    }
    const bool is_expectation = words[0] == "expect";
    const bool sets_scene = words[0] == "entries" || words[0] == "upstreams" || words[0] == "class" ||
                            planned.what->apply == &scenario::end_service;
    if (!is_timed && !is_expectation && !sets_scene) {
        reject(number, "an event needs its time: at 3s " + joined(words));
    }
    check_names(planned);
    auto& part = is_timed ? story_ : is_expectation ? ending_ : scene_;
    part.push_back(std::move(planned));
}

void scenario::check_names(const planned_line& planned) const
{
    const auto parts = words_of(planned.what->pattern);
    std::size_t next = 0;
    for (const auto& part : parts) {
        if (!is_variable(part)) {
            continue;
        }
        const auto& word = planned.words[next++];
        const bool is_vm = part == "ENTRY" || part == "UPSTREAM" || part == "VM";
        const char kind = part == "ENTRY" ? 'e' : 'u';
        const bool names_vm = word.size() > 1 && number_of(word.substr(1)) &&
                              (word[0] == kind || (part == "VM" && word[0] == 'e'));
        if (is_vm && !names_vm) {
            reject(planned.line,
                   "'" + word + "' names no VM; entries are e1, e2, ..., upstreams u1, u2, ...");
        }
        if (part == "CODE" &&
            std::ranges::find(result_codes(), word, &result_code_entry::name) == result_codes().end()) {
            reject(planned.line, "'" + word + "' is no result code; see docs/codes.md");
        }
        if (part == "WORD" && word != "no" && word != "yes" && word != "unknown") {
            reject(planned.line, "ran is no, yes or unknown, not '" + word + "'");
        }
        if (part == "RULE" && !rule_of(word)) {
            reject(planned.line, "a class is repeatable, idempotent or never-repeat, not '" + word + "'");
        }
    }
}

// --- Playing

std::vector<std::string> scenario::run()
{
    failures_.clear();
    build();
    for (const auto& planned : story_) {
        if (!play_until(begin_ + planned.at.time_since_epoch())) {
            return failures_;
        }
        play(planned);
    }
    play_until(deployment_->now() + until_mended);
    for (const auto& names : {deployment_->entries(), deployment_->upstreams()}) {
        std::ranges::copy_if(names, std::inserter(stopped_, stopped_.end()),
                             [this](const auto& vm) { return deployment_->is_drained(vm); });
    }
    deployment_->mend_everything();
    if (!play_until(deployment_->now() + quiet_period)) {
        return failures_;
    }
    for (const auto& fault : oracle_->check_end()) {
        failures_.push_back(file_ + ": " + fault);
    }
    for (const auto& planned : ending_) {
        play(planned);
    }
    return failures_;
}

void scenario::build()
{
    entry_names_ = {"e1", "e2"};
    upstream_names_ = {"u1", "u2", "u3"};
    requests_.clear();
    stopped_.clear();
    configuration_ = {};
    configuration_.version = 1;
    configuration_.classes = {
        make_class("guide", 0, repeat_rule::repeatable), make_class("status", 1, repeat_rule::idempotent),
        make_class("booking", 1, repeat_rule::never), make_class("dossier", 6, repeat_rule::repeatable)};
    configuration_.workspaces = {{std::string(workspace_name), sha256_hex("key"), 1, {}}};
    deployment_ = std::make_unique<fake_deployment>();
    oracle_ = std::make_unique<truth_oracle>(*deployment_);
    begin_ = deployment_->now() + seconds(1);
    for (const auto& planned : scene_) {
        play(planned);
    }
    deployment_->configure(configuration_);
    std::uint64_t incarnation = 0;
    for (const auto& vm : entry_names_) {
        entry_core_settings entry;
        entry.vm = vm;
        entry.incarnation = (incarnation += 1000);
        deployment_->add_entry(entry);
    }
    for (const auto& vm : upstream_names_) {
        upstream_settings upstream;
        upstream.vm = vm;
        upstream.incarnation = (incarnation += 1000);
        upstream.models = {"assistant"};
        upstream.slots = slots_;
        deployment_->add_upstream(upstream, {});
    }
    for (const auto& planned : ending_) {
        if (planned.what->apply == &scenario::expect_idle_after) {
            const auto at = begin_ + *time_of(planned.words[1]);
            deployment_->scheduler().after(at - deployment_->now(), [this, words = planned.words] {
                starts_at_[{words[0], words[1]}] = deployment_->engine_of(words[0]).starts();
            });
        }
    }
    play_until(begin_);
}

void scenario::play(const planned_line& planned)
{
    current_line_ = planned.line;
    try {
        (this->*planned.what->apply)(planned.words);
    } catch (const std::out_of_range&) {
        fail("the line names something that the story does not have");
    }
}

bool scenario::play_until(time_point end)
{
    while (deployment_->scheduler().next_due() <= end) {
        deployment_->scheduler().step();
        const auto& faults = oracle_->check();
        if (!faults.empty()) {
            failures_.push_back(file_ + ": after line " + std::to_string(current_line_) + ": " +
                                faults.front());
            return false;
        }
    }
    deployment_->scheduler().run_until(end);
    return true;
}

void scenario::fail(const std::string& why)
{
    failures_.push_back(file_ + ":" + std::to_string(current_line_) + ": " + why);
}

void scenario::demand(bool holds, const std::string& why)
{
    if (!holds) {
        fail(why);
    }
}

// --- Setting the scene

void scenario::add_entries(const captures& words)
{
    entry_names_.clear();
    for (std::int64_t i = 1; i <= *number_of(words[0]); ++i) {
        entry_names_.push_back("e" + std::to_string(i));
    }
}

void scenario::add_upstreams(const captures& words)
{
    upstream_names_.clear();
    for (std::int64_t i = 1; i <= *number_of(words[0]); ++i) {
        upstream_names_.push_back("u" + std::to_string(i));
    }
    slots_ = static_cast<std::uint32_t>(*number_of(words[1]));
}

void scenario::add_class(const captures& words)
{
    auto added = make_class(words[0], static_cast<int>(*number_of(words[2])), *rule_of(words[1]));
    added.deadline = *time_of(words[3]);
    std::erase_if(configuration_.classes,
                  [&](const request_class& known) { return known.name == added.name; });
    configuration_.classes.push_back(std::move(added));
}

void scenario::end_service(const captures& words)
{
    configuration_.shutdown.ends_at = begin_ + *time_of(words[0]);
    if (!deployment_->entries().empty()) {
        ++configuration_.version;
        deployment_->configure(configuration_);
    }
}

// --- Events

void scenario::send(const planned_request& planned)
{
    const auto* rules = configuration_.find_class(planned.class_name);
    if (rules == nullptr) {
        fail("there is no class " + planned.class_name);
        return;
    }
    if (!deployment_->is_alive(planned.entry)) {
        fail(planned.entry + " is down; a caller cannot reach it");
        return;
    }
    caller_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.key_sha256 = sha256_hex("key");
    request.model = "assistant";
    request.class_name = planned.class_name;
    request.idempotency_key = planned.key;
    request.body = R"({"name":")" + planned.name + R"(","stand_in_tokens":)" + planned.tokens + "}";
    auto& named = requests_[planned.name];
    named.body = request.body;
    named.class_name = planned.class_name;
    named.callers.push_back(oracle_->send(planned.entry, request, rules->repeat == repeat_rule::never));
}

void scenario::arrive(const captures& words)
{
    send({words[0], words[1], "", words[2], std::string(default_tokens)});
}

void scenario::arrive_long(const captures& words)
{
    send({words[0], words[1], "", words[3], words[2]});
}

void scenario::arrive_keyed(const captures& words)
{
    send({words[0], words[1], words[2], words[3], std::string(default_tokens)});
}

void scenario::arrive_keyed_long(const captures& words)
{
    send({words[0], words[1], words[2], words[4], words[3]});
}

void scenario::hang_up(const captures& words)
{
    deployment_->hang_up(requests_.at(words[0]).callers.back());
}

void scenario::crash(const captures& words)
{
    demand(deployment_->is_alive(words[0]), words[0] + " is down already");
    deployment_->crash(words[0]);
}

void scenario::restart(const captures& words)
{
    demand(!deployment_->is_alive(words[0]), words[0] + " is not down");
    deployment_->restart(words[0]);
}

void scenario::freeze(const captures& words)
{
    demand(deployment_->is_alive(words[0]), words[0] + " is down");
    deployment_->freeze(words[0]);
}

void scenario::thaw(const captures& words)
{
    demand(deployment_->is_frozen(words[0]), words[0] + " is not frozen");
    deployment_->thaw(words[0]);
}

void scenario::drain(const captures& words)
{
    demand(deployment_->is_alive(words[0]), words[0] + " is down");
    deployment_->drain(words[0]);
}

void scenario::crash_engine(const captures& words)
{
    deployment_->engine_of(words[0]).crash();
}

void scenario::recover_engine(const captures& words)
{
    deployment_->engine_of(words[0]).recover();
}

void scenario::slow_engine(const captures& words)
{
    deployment_->engine_of(words[0]).set_slow(static_cast<double>(*number_of(words[1])));
}

void scenario::break_answer(const captures& words)
{
    deployment_->engine_of(words[0]).truncate_next(1);
}

void scenario::break_prompt(const captures& words)
{
    for (const auto& vm : deployment_->upstreams()) {
        deployment_->engine_of(vm).crash_on("\"" + words[0] + "\"");
    }
}

void scenario::store_down(const captures& /*words*/)
{
    deployment_->table().set_outage(true);
}

void scenario::store_back(const captures& /*words*/)
{
    deployment_->table().set_outage(false);
}

void scenario::store_loses(const captures& words)
{
    deployment_->table().lose_answers(static_cast<int>(*number_of(words[0])));
}

void scenario::store_delays(const captures& words)
{
    deployment_->table().delay_effects(static_cast<int>(*number_of(words[0])), *time_of(words[1]));
}

void scenario::store_takes(const captures& words)
{
    // There and back.
    deployment_->table().set_latency(*time_of(words[0]) / 2);
}

void scenario::cut(const captures& words)
{
    deployment_->cut(words[0], words[1]);
}

void scenario::heal(const captures& words)
{
    deployment_->heal(words[0], words[1]);
}

void scenario::settle_not_run(const captures& words)
{
    deployment_->table().settle(std::string(workspace_name), words[0], ran_state::no);
}

void scenario::settle_run(const captures& words)
{
    deployment_->table().settle(std::string(workspace_name), words[0], ran_state::yes);
}

// --- Expectations

const transcript& scenario::last_answer(const std::string& name) const
{
    return deployment_->transcript_of(requests_.at(name).callers.back());
}

void scenario::expect_at_most_once(const captures& words)
{
    const int count = oracle_->executions_of(requests_.at(words[0]).body);
    demand(count <= 1, words[0] + " ran " + std::to_string(count) + " times");
}

void scenario::expect_once(const captures& words)
{
    const int count = oracle_->executions_of(requests_.at(words[0]).body);
    demand(count == 1, words[0] + " ran " + std::to_string(count) + " times");
}

void scenario::expect_never_ran(const captures& words)
{
    const int count = oracle_->executions_of(requests_.at(words[0]).body);
    demand(count == 0, words[0] + " ran " + std::to_string(count) + " times");
}

void scenario::expect_whole(const captures& words)
{
    const auto& seen = last_answer(words[0]);
    demand(seen.succeeded() && seen.body == expected_answer(requests_.at(words[0]).body),
           words[0] + " got: " + (seen.open() ? "no end" : seen.body));
}

void scenario::expect_all_whole(const captures& /*words*/)
{
    for (const auto& [name, request] : requests_) {
        for (const auto caller : request.callers) {
            const auto& seen = deployment_->transcript_of(caller);
            demand(seen.succeeded(), name + " got: " + (seen.open() ? "no end" : seen.body));
        }
    }
}

void scenario::expect_failed(const captures& words)
{
    const auto& seen = last_answer(words[0]);
    const auto told = std::string(describe(seen.code()).name);
    demand(!seen.open() && told == words[1], words[0] + " ended with " + told);
}

void scenario::expect_failed_ran(const captures& words)
{
    expect_failed(words);
    const auto ran = last_answer(words[0]).ran();
    const auto told = ran ? std::string(to_string(*ran)) : "nothing";
    demand(told == words[2], words[0] + " was told ran: " + told);
}

void scenario::expect_within(const captures& words)
{
    const auto& seen = last_answer(words[0]);
    const auto took = seen.ended_at - seen.sent_at;
    demand(!seen.open() && took <= *time_of(words[1]),
           words[0] +
               (seen.open() ? " has not ended" : " took " + std::to_string(to_milliseconds(took)) + " ms"));
}

void scenario::expect_open(const captures& words)
{
    demand(last_answer(words[0]).open(), words[0] + " has ended");
}

void scenario::expect_answered(const captures& words)
{
    demand(!last_answer(words[0]).open(), words[0] + " has not ended");
}

void scenario::expect_truth(const captures& /*words*/)
{
    // The oracle compares each answer with the ledgers after every step; here every caller must have one.
    for (const auto& [name, request] : requests_) {
        for (const auto caller : request.callers) {
            demand(!deployment_->transcript_of(caller).open(), name + " has no answer");
        }
    }
}

void scenario::expect_nothing_cut(const captures& /*words*/)
{
    for (const auto& [name, request] : requests_) {
        for (const auto caller : request.callers) {
            const auto& seen = deployment_->transcript_of(caller);
            demand(!seen.began || seen.succeeded(), name + " was cut off");
        }
    }
}

void scenario::expect_stopped(const captures& words)
{
    demand(stopped_.contains(words[0]) || deployment_->is_drained(words[0]), words[0] + " has not stopped");
}

void scenario::expect_idle_after(const captures& words)
{
    const auto before = starts_at_.at({words[0], words[1]});
    const auto after = deployment_->engine_of(words[0]).starts();
    demand(before == after, words[0] + " started " + std::to_string(after - before) + " runs");
}

} // namespace clementinegap
