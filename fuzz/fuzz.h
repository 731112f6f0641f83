#pragma once

#include <cstdint>
#include <vector>

/// Returns valid inputs to mutate; defined by each fuzz target.
std::vector<std::vector<std::uint8_t>> fuzzCorpus();

/// Decodes one input and returns false if an invariant of the decoder is violated; defined by each fuzz target.
bool fuzzOne(const std::vector<std::uint8_t> &buf);
