#pragma once

#include "core/result_code.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

/// \file
/// The error type of the project and its Boost.Outcome alias.

namespace clementinegap {

/// A result code with a message that describes the error.
struct error {
    result_code code{result_code::internal};
    std::string message;
};

template <class T>
using outcome = BOOST_OUTCOME_V2_NAMESPACE::result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Creates the error value of an `outcome`.
inline error failure(result_code code, std::string message)
{
    return error{code, std::move(message)};
}

} // namespace clementinegap
