// Runs one fuzz target with seeded random inputs, so that equal arguments give equal results.
// Usage: fuzz_TARGET [--runs COUNT] [--seed SEED]
#include "fuzz.h"

#include <boost/lexical_cast.hpp>

#include <cstdint>
#include <iostream>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr std::size_t MaxRandomBytes = 2048;

std::vector<std::uint8_t> randomBytes(std::mt19937_64 &random)
{
    std::vector<std::uint8_t> buf(random() % MaxRandomBytes);
    for (auto &byte : buf) {
        byte = static_cast<std::uint8_t>(random());
    }
    return buf;
}

// Overwrites bytes of a valid input, truncates or extends it. Purely random bytes rarely pass the first header check.
std::vector<std::uint8_t> mutated(std::vector<std::uint8_t> buf, std::mt19937_64 &random)
{
    for (auto changes = random() % 8; changes > 0 && !buf.empty(); --changes) {
        buf[random() % buf.size()] = static_cast<std::uint8_t>(random());
    }
    if (random() % 4 == 0) {
        buf.resize(random() % (buf.size() + 1));
    }
    if (random() % 8 == 0) {
        buf.resize(buf.size() + random() % 64, static_cast<std::uint8_t>(random()));
    }
    return buf;
}

} // namespace

int main(int argc, char **argv)
{
    std::uint64_t runs = 20000;
    std::uint64_t seed = 1;
    for (int n = 1; n + 1 < argc; n += 2) {
        const std::string_view option = argv[n];
        (option == "--seed" ? seed : runs) = boost::lexical_cast<std::uint64_t>(argv[n + 1]);
    }
    std::mt19937_64 random(seed);
    const auto corpus = fuzzCorpus();
    for (std::uint64_t n = 0; n < runs; ++n) {
        const bool mutate = !corpus.empty() && random() % 4 != 0;
        const auto buf = mutate ? mutated(corpus[random() % corpus.size()], random) : randomBytes(random);
        if (!fuzzOne(buf)) {
            std::cerr << "fuzz target failed at input " << n << " with seed " << seed << '\n';
            return 1;
        }
    }
    std::cout << runs << " inputs, seed " << seed << '\n';
    return 0;
}
