#include "request/upstream_context.h"

#include <string>
#include <utility>

namespace clementinegap {

void upstream_context::send(const upstream_attempt& attempt, upstream_message message)
{
    actions.emplace_back(send_to_entry{attempt.session, std::move(message)});
}

void upstream_context::record(const upstream_attempt& attempt, std::string_view kind, std::string_view detail)
{
    const auto& reservation = attempt.reservation;
    actions.emplace_back(emit_record{{std::string(kind), reservation.request_id, reservation.class_name,
                                      reservation.workspace, settings.vm, std::string(detail)}});
}

} // namespace clementinegap
