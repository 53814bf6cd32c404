#include "fuzz/mutator.h"

#include <array>

namespace clementinegap {
namespace {

using namespace std::string_view_literals;

constexpr std::array tokens{"null"sv,    "-1"sv,   "1e999"sv,  "99999999999999999999"sv,
                            "\""sv,      "{"sv,    "}"sv,      "["sv,
                            "]"sv,       "//"sv,   "/*"sv,     "*/"sv,
                            "\\u0000"sv, "\xff"sv, "\0"sv,     "data:"sv,
                            "\n\n"sv,    "\r\n"sv, "true"sv,   "0.5"sv,
                            ","sv,       ":"sv,    "[DONE]"sv, "{\"a\":"sv};
constexpr std::size_t most_mutations = 8;
constexpr std::size_t longest_run = 40;
constexpr std::size_t byte_values = 256;

enum class mutation : std::uint8_t { flip, cut, repeat, token, truncate, count };

} // namespace

std::string mutator::next(std::span<const std::string> corpus)
{
    std::string text = corpus[below(corpus.size())];
    const auto count = 1 + below(most_mutations);
    for (std::size_t i = 0; i < count; ++i) {
        mutate(text);
    }
    return text;
}

void mutator::mutate(std::string& text)
{
    const auto at = below(text.size() + 1);
    const auto length = below(longest_run);
    switch (static_cast<mutation>(below(static_cast<std::size_t>(mutation::count)))) {
    case mutation::flip:
        if (at < text.size()) {
            text[at] = static_cast<char>(below(byte_values));
        }
        return;
    case mutation::cut:
        text.erase(at, length);
        return;
    case mutation::repeat:
        text.insert(below(text.size() + 1), text.substr(at, length));
        return;
    case mutation::token:
        text.insert(at, tokens[below(tokens.size())]);
        return;
    case mutation::truncate:
        // Rarely, since little is left to parse.
        if (below(4) == 0) {
            text.resize(at);
        }
        return;
    case mutation::count:
        return;
    }
}

} // namespace clementinegap
