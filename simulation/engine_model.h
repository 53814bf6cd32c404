#pragma once

#include "routing/request_priority.h"
#include "simulation/engine_figures.h"
#include "simulation/part_memory.h"

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace clementinegap {

/// A generation as a simulated engine gets it.
struct engine_run {
    std::uint64_t id{0};
    std::uint8_t urgency{0}; ///< 0 is admitted first.
    std::vector<prompt_part> parts;
    std::uint32_t output_tokens{1};
    request_priority priority{}; ///< By which `urgency` should order the runs; the engine does not know it.
};

/// What an engine says of a run.
struct engine_news {
    enum class kind : std::uint8_t { event, completed, refused };
    std::uint64_t run{0};
    kind what{kind::event};
};

/// A model engine that serves its requests in batches: each step reads a chunk of prompts, the most urgent
/// first, and produces a token for every stream. More urgent requests are admitted first and displace less
/// urgent ones, the newest first, which are read again later. Time is handed in.
class engine_model {
public:
    explicit engine_model(engine_figures figures) : figures_(figures), memory_(figures.memory_tokens) {}

    void submit(engine_run run, time_point now);
    void cancel(std::uint64_t run);
    /// The end of the step that is under way; `never` for an idle engine.
    time_point next_due() const { return step_ends_; }
    /// Ends the step that is due and begins the next one. \returns what happened; valid until the next call.
    std::span<const engine_news> advance(time_point now);

    /// Prompt tokens that the engine would have to read.
    std::uint32_t missing(std::span<const prompt_part> parts) const { return memory_.missing(parts); }
    /// Parts that another engine gave; dropped without room for them.
    void receive(std::span<const prompt_part> parts);

    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    std::uint64_t preemptions() const { return preemptions_; }
    /// Those of them while a run of lower priority went on.
    std::uint64_t inverted_preemptions() const { return inverted_preemptions_; }
    /// Prompt tokens read so far, those that were read once more included.
    std::uint64_t tokens_read() const { return tokens_read_; }
    /// Those of them that belong to parts which other requests share.
    std::uint64_t shared_tokens_read() const { return shared_tokens_read_; }

private:
    struct state {
        engine_run run;
        std::uint64_t order{0}; ///< Of its submission.
        std::uint32_t prompt_tokens{0};
        std::uint32_t to_read{0}; ///< Of its prompt and of what it had produced before it was displaced.
        std::uint32_t reading{0}; ///< In the step under way.
        std::uint32_t read{0};
        std::uint32_t produced{0};
        std::uint32_t held_output{0}; ///< Output tokens in memory.
    };

    using rank_value = std::pair<std::uint8_t, std::uint64_t>;
    /// Who goes first: the most urgent, and among them the first to come.
    static rank_value rank(const state& one) { return {one.run.urgency, one.order}; }

    void wait(state one);
    void begin_step(time_point now);
    void admit();
    bool displace_for(const state& urgent);
    void displace(std::vector<state>::iterator victim);
    /// Makes room for a token of the run; false when the run itself was displaced for want of memory.
    bool grow(std::uint64_t run);
    void produce(std::uint64_t run);
    std::vector<state>::iterator find_running(std::uint64_t run);
    duration step_time();
    void give_back(state& one);

    engine_figures figures_;
    part_memory memory_;
    std::vector<state> running_;    ///< In the order of admission.
    std::vector<state> waiting_;    ///< By urgency, then by submission.
    std::vector<engine_news> news_; ///< Since the last step's end.
    std::vector<engine_news> told_;
    std::uint64_t last_order_{0};
    std::uint64_t preemptions_{0};
    std::uint64_t inverted_preemptions_{0};
    std::uint64_t tokens_read_{0};
    std::uint64_t shared_tokens_read_{0};
    time_point step_ends_{never};
};

} // namespace clementinegap
