#pragma once

#include "fakes/manual_scheduler.h"
#include "request/upstream_events.h"

#include <functional>
#include <map>
#include <string>

namespace clementinegap {

/// The table service's run records in manual time, with outages and answers that are lost after the effect.
class fake_table {
public:
    using tell_function = std::function<void(upstream_event)>;

    explicit fake_table(manual_scheduler& scheduler) : scheduler_(scheduler) {}

    void claim(const run_record& record, const tell_function& tell);
    void read(const read_run& action, const tell_function& tell);
    void finish(const run_record& record, const tell_function& tell);
    void release(const run_record& record, const tell_function& tell);

    /// An operator settles the record: it ends with `ran`, without an answer.
    void settle(const std::string& workspace, const std::string& key, ran_state ran);

    void set_outage(bool outage) { outage_ = outage; }
    void set_latency(duration latency) { latency_ = latency; }
    /// The next `count` changes take effect, but their answers do not arrive.
    void lose_answers(int count) { lose_ = count; }
    /// The next `count` changes are reported as unknown at once and take effect only after `delay`.
    void delay_effects(int count, duration delay)
    {
        late_ = count;
        late_by_ = delay;
    }

    const std::map<std::string, run_record>& rows() const { return rows_; }
    std::uint64_t writes() const { return writes_; }
    std::uint64_t reads() const { return reads_; }

private:
    void answer(const tell_function& tell, upstream_event event);
    bool loses_answer();
    /// Runs `change` half-way through the latency, or late after the answer `unknown`.
    void change_later(const tell_function& tell, const upstream_event& unknown,
                      const std::function<upstream_event()>& change);
    static std::string place(const std::string& workspace, const std::string& key);

    manual_scheduler& scheduler_;
    std::map<std::string, run_record> rows_;
    duration latency_{milliseconds(2)};
    duration answer_timeout_{seconds(2)};
    bool outage_{false};
    int lose_{0};
    int late_{0};
    duration late_by_{0};
    std::uint64_t writes_{0};
    std::uint64_t reads_{0};
};

} // namespace clementinegap
