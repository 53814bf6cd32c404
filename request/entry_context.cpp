#include "request/entry_context.h"

#include <utility>

namespace clementinegap {
namespace {

std::string hexadecimal(std::uint64_t value)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = text.size(); i-- > 0; value >>= 4U) {
        text[i] = digits[value & 15U];
    }
    return text;
}

} // namespace

void entry_context::send(const std::string& vm, entry_message message)
{
    actions.emplace_back(send_to_upstream{vm, std::move(message)});
}

void entry_context::record(const entry_request& request, std::string_view kind, std::string_view upstream,
                           std::string_view detail)
{
    actions.emplace_back(emit_record{{std::string(kind), request.id, request.rules.name, request.workspace,
                                      std::string(upstream), std::string(detail)}});
}

std::string entry_context::new_request_id()
{
    return hexadecimal(settings.incarnation) + hexadecimal(++last_request_).substr(4);
}

} // namespace clementinegap
