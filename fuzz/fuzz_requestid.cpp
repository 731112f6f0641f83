#include "fuzz.h"

#include "laburnumspar/requestid.h"

#include <string>

using namespace laburnumspar;

std::vector<std::vector<std::uint8_t>> fuzzCorpus()
{
    std::vector<std::vector<std::uint8_t>> corpus;
    for (const auto *ip : {"10.0.0.1", "::1"}) {
        const auto text = toString(RequestId{{ip, 7000}, 1700000000123, 42});
        corpus.emplace_back(text.begin(), text.end());
    }
    return corpus;
}

// A text that parses must be the text that toString() returns for the identifier.
bool fuzzOne(const std::vector<std::uint8_t> &buf)
{
    const std::string text(buf.begin(), buf.end());
    const auto id = parseRequestId(text);
    return !id || toString(*id) == text;
}
