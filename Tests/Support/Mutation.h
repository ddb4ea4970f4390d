#pragma once

#include <random>
#include <string>

namespace Comfreysail::Tests {

/// Returns the text with one to four random mutations: a byte changed, bytes removed, inserted or repeated, or the end
/// cut off. For fuzz tests of parsers.
std::string mutated(std::string text, std::mt19937&);

}
