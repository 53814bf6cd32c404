#pragma once

#include <string>

namespace clementinegap {

/// Empties a string and gives its memory back, which assigning an empty string does not.
inline void release(std::string& text)
{
    std::string().swap(text);
}

} // namespace clementinegap
