#pragma once

#include "config/configuration.h"

#include <string>

/// \file
/// The announced end of the service, for admission and response headers.

namespace clementinegap {

/// Whether the announced date has passed.
bool has_ended(const shutdown_plan& plan, time_point now);

/// Whether a request of the class that is admitted now can end before the date. Classes with long runs close
/// first, so that the shutdown cuts off nothing.
bool admits(const shutdown_plan& plan, const request_class& rules, time_point now);

/// The form that the `Sunset` header (RFC 8594) wants, such as "Sat, 31 Dec 2050 23:59:59 GMT".
std::string http_date(time_point at);

} // namespace clementinegap
