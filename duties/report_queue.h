#pragma once

#include "duties/duty_row.h"
#include "duties/usage_report.h"

#include <cstddef>
#include <map>
#include <vector>

namespace clementinegap {

/// Reports that are recorded in the duty's row and not known to be accepted. What was recorded once for a
/// window is never replaced.
class report_queue {
public:
    struct entry {
        usage_report report;
        bool is_own{false}; ///< First recorded by this process.
        /// The row held other counts at another time, as after a restore of the store. Nobody knows which
        /// were sent, so neither is sent again.
        bool is_contested{false};
    };

    /// Takes the reports of a row that exists. \returns the windows that were not known.
    std::vector<window_number> adopt(const duty_row& row, bool is_own);
    /// This window and all before it are done.
    void set_sent(window_number window);

    window_number sent() const { return sent_; }
    /// The newest window that must not be recorded any more.
    window_number newest() const { return entries_.empty() ? sent_ : entries_.rbegin()->first; }
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    /// The oldest one. Requires that there is one.
    const entry& front() const { return entries_.begin()->second; }
    std::vector<usage_report> reports() const;

private:
    std::map<window_number, entry> entries_;
    window_number sent_{0};
};

} // namespace clementinegap
