#include "routing/send_fault.h"

namespace clementinegap {

bool certainly_not_run(send_fault fault)
{
    return fault == send_fault::unreachable || fault == send_fault::not_run ||
           fault == send_fault::wrong_instance || fault == send_fault::recalled;
}

std::string_view to_string(send_fault fault)
{
    switch (fault) {
    case send_fault::unreachable:
        return "unreachable";
    case send_fault::not_run:
        return "not_run";
    case send_fault::wrong_instance:
        return "wrong_instance";
    case send_fault::lost:
        return "lost";
    case send_fault::failed_answer:
        return "failed_answer";
    case send_fault::recalled:
        return "recalled";
    case send_fault::bad_answer:
        return "bad_answer";
    }
    return "unknown";
}

} // namespace clementinegap
