// Measures what the organisations of a configuration cost: time to load, memory, and time of a look-up by key.
// Usage: bench_organisations
#include "laburnumspar/organisations.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace laburnumspar;

namespace {

constexpr std::size_t KeysPerOrganisation = 3;
constexpr std::size_t LookUps = 1'000'000;

double residentMegabytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return double(resident) * double(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

double secondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

std::string keyOf(std::size_t organisation, std::size_t n)
{
    return "k" + std::to_string(organisation * KeysPerOrganisation + n) + "-0123456789";
}

void measure(std::size_t organisations)
{
    ::malloc_trim(0); // memory that was freed by an earlier measurement would not be counted
    const double before = residentMegabytes();
    const auto begin = std::chrono::steady_clock::now();
    OrganisationTable table;
    for (std::size_t n = 0; n < organisations; ++n) {
        std::vector<std::string> keys;
        std::vector<std::string_view> views;
        for (std::size_t key = 0; key < KeysPerOrganisation; ++key) {
            keys.push_back(keyOf(n, key));
        }
        views.assign(keys.begin(), keys.end());
        table.add({"o" + std::to_string(n), std::nullopt, {10, 10}}, views);
    }
    const double load = secondsSince(begin);
    ::malloc_trim(0);
    const double memory = residentMegabytes() - before;
    std::vector<std::string> keys;
    for (std::size_t n = 0; n < LookUps; ++n) {
        keys.push_back(keyOf((n * 7919) % organisations, n % KeysPerOrganisation));
    }
    std::size_t found = 0;
    const auto lookUpBegin = std::chrono::steady_clock::now();
    for (const auto &it : keys) {
        found += table.find(digestOfKey(it)) != nullptr ? 1 : 0;
    }
    const double nanoseconds = 1e9 * secondsSince(lookUpBegin) / double(LookUps);
    std::printf("%9zu organisations %9zu keys: load %7.1f ms, %6.1f MB, look-up %5.0f ns (%zu found)\n",
                organisations,
                table.keyCount(),
                load * 1000,
                memory,
                nanoseconds,
                found);
}

} // namespace

int main()
{
    for (const std::size_t organisations : {1'000U, 81'000U, 370'000U}) {
        measure(organisations);
    }
}
