// Measures what one version of the routes costs an instance, by the number of routes. The results are quoted in
// docs/CAPACITY.md. Checks no bounds; exits with 1 if a version is not understood.
#include "gateway/compression.h"
#include "gateway/groupmessages.h"
#include "platform/adapter.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <functional>
#include <limits>
#include <string>

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

constexpr unsigned Repetitions = 5;
constexpr std::size_t MaxVersionBytes = 64 << 20;

/// Returns the processor time that this thread has used, in milliseconds.
double threadCpuMs()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return double(time.tv_sec) * 1e3 + double(time.tv_nsec) * 1e-6;
}

/// Returns the least processor time of several calls in milliseconds.
double measureMs(const std::function<void()> &call)
{
    double least = std::numeric_limits<double>::max();
    for (unsigned n = 0; n < Repetitions; ++n) {
        const double before = threadCpuMs();
        call();
        least = std::min(least, threadCpuMs() - before);
    }
    return least;
}

std::string makeVersion(unsigned routes)
{
    std::string text = R"({"version":"r7","services":{"columns":["name","health_path","max_conns"],"rows":[)"
                       R"(["orders","/healthz",360],["catalogue","/healthz",360]]},"routes":{"columns":["name","host",)"
                       R"("prefix","service","kind","attempts","timeout_s","slo_s","priority"],"rows":[)";
    for (unsigned n = 0; n < routes; ++n) {
        const auto number = std::to_string(n);
        text += (n > 0 ? "," : "") + std::string("[\"added") + number + R"(","host.example","/added)" + number
            + (n % 2 == 0 ? R"(/","orders","safe",2,4.0,1.2,1])" : R"(/","catalogue","unsafe",1,5.0,1.2,0])");
    }
    return text + "]}}";
}

bool measure(unsigned routes)
{
    const auto adapter = platform::makeAdapter();
    const StoreItem item{adapter.routesPrefix, makeVersion(routes), {1, 1}, false};
    const auto compressed = compress(item.value);
    DecodedStoreItem decoded;
    const double compressMs = measureMs([&] { compress(item.value); });
    const double uncompressMs = measureMs([&] { uncompress(compressed, MaxVersionBytes); });
    const double decodeMs = measureMs([&] { decoded = adapter.decodeItem(item); });
    const auto *table = std::get_if<std::shared_ptr<const RouteTable>>(&decoded);
    std::printf("%6u routes: %8zu bytes, %7zu compressed; compress %6.2f ms, uncompress %6.2f ms, decode %7.2f ms\n",
                routes,
                item.value.size(),
                compressed.size(),
                compressMs,
                uncompressMs,
                decodeMs);
    return table != nullptr && (*table)->routes().size() == routes;
}

} // namespace

int main()
{
    bool understood = true;
    for (const unsigned routes : {100U, 1'000U, 14'000U, 84'000U}) {
        understood = measure(routes) && understood;
    }
    return understood ? 0 : 1;
}
