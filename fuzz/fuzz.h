#pragma once

#include <cstdint>
#include <vector>

/// Valid inputs to mutate; defined by each fuzz target.
std::vector<std::vector<std::uint8_t>> fuzzCorpus();

/// Decodes one input; false if an invariant of the decoder was broken. Defined by each fuzz target.
bool fuzzOne(const std::vector<std::uint8_t> &buf);
