#include "config/empty_questionnaire.h"

namespace clementinegap {

std::string_view empty_questionnaire()
{
    return R"text(// Answers of one team. Fill in what stands between the quotation marks, then run
//   clementinegap questionnaire check FILE
//   clementinegap config diff --platform URL FILE
//   clementinegap config submit --platform URL FILE
{
    // A short name for your team.
    "team": "",

    // The last day of the service as YYYY-MM-DD; callers are told beforehand. Leave it out if none is announced.
    // "service_ends": "2027-06-30",

    // Each kind of work that you do, one block for each.
    "work": [
        {
            // A short name; callers send it in the header Clementinegap-Class.
            "name": "",
            // The model or service that does the work.
            "served_by": "",
            // True if that is a plain service and not a language model.
            "is_service": false,
            // Who waits until the answer is there?
            //   "person_in_front": somebody stands or sits there and can walk away
            //   "worker_on_site":  somebody at a bench or in the field who cannot go on
            //   "office_today":    somebody who does something else meanwhile
            //   "nobody":          it is read some time later
            "who_waits": "",
            // What happens when the answer is late?
            //   "work_stops":    a job stands still
            //   "person_leaves": somebody gives up
            //   "annoyance":     it is only unpleasant
            //   "none":          nothing
            "lateness": "",
            // What happens if the same request is run twice?
            //   "money_or_damage": money or material is lost; it runs at most once and callers must send a key
            //   "extra_work":      somebody has to undo it; it runs at most once
            //   "none":            nothing, but the second answer may differ
            //   "lookup":          nothing at all, it only looks something up
            "repetition": "",
            // Requests under this path are this work if they do not name one. May be left out.
            // "path": "/v1/chat/completions",
            // Other work that must be served before this. May be left out.
            // "after": ["another_work"],
            // The most requests a second that you expect. May be left out.
            // "peak_requests_per_second": 2,
            // How long is an answer? "short" (some sentences), "page", or "document" (many pages).
            "answer_length": ""
        }
    ],

    // Each workspace that calls, one block for each.
    "callers": [
        {
            "workspace": "",
            // The SHA-256 of its bearer key, from: printf %s "$KEY" | sha256sum
            "key_sha256": "",
            // The most requests a second that it may send. Leave it out for no limit.
            // "requests_per_second": 50,
            // Its share beside the other workspaces when there is not enough for all; 1 is usual.
            "share": 1
        }
    ],

    // The servers that you know of, so that targets that cannot be met are found before they are promised, such as
    // {"served_by": "assistant", "servers": 12, "requests_at_once": 8}
    "capacity": []
}
)text";
}

} // namespace clementinegap
