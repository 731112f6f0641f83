// Measures what one version of the routes costs an instance, by the number of routes. The results are quoted in
// docs/CAPACITY.md. Checks no bounds; exits with 1 if a version is not understood.
#include "gateway/changesreply.h"
#include "gateway/compression.h"
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

/// Returns the processor time of a call in milliseconds.
double measureOnceMs(const std::function<void()> &call)
{
    const double before = threadCpuMs();
    call();
    return threadCpuMs() - before;
}

/// Returns the least processor time of several calls in milliseconds.
double measureMs(const std::function<void()> &call)
{
    double least = std::numeric_limits<double>::max();
    for (unsigned n = 0; n < Repetitions; ++n) {
        least = std::min(least, measureOnceMs(call));
    }
    return least;
}

std::string makeVersion(unsigned routes, unsigned version)
{
    std::string text = R"({"version":"r)" + std::to_string(version)
        + R"(","services":{"columns":["name","health_path","max_conns"],"rows":[)"
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
    const StoreItem item{adapter.routesPrefix, makeVersion(routes, 7), {1, 1}, false};
    const auto compressed = compress(item.value.str());
    DecodedStoreItem decoded;
    const double compressMs = measureMs([&] { compress(item.value.str()); });
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

/// Measures the steps for which one thread has to do nothing else. The values have been decoded and compressed before.
bool measureSteps(unsigned routes)
{
    const auto adapter = platform::makeAdapter();
    ServiceRegistry registry("", {}, 1);
    StoreCopy copy(adapter, registry);
    unsigned version = 0;
    double applyMs = std::numeric_limits<double>::max();
    double answerMs = applyMs;
    double releaseMs = applyMs;
    for (unsigned n = 0; n <= Repetitions; ++n) {
        StoreItem item{adapter.routesPrefix, makeVersion(routes, ++version), {0, version}, false};
        item.routes = std::get<std::shared_ptr<const RouteTable>>(adapter.decodeItem(item));
        item.compressed = std::make_shared<const std::string>(compress(item.value.str()));
        PlatformAdapter::Page page;
        page.revision = item.revision;
        page.items.push_back(std::move(item));
        auto before = registry.routes();
        const Revision after{0, version - 1};
        const double applied = measureOnceMs([&] { copy.applyChanges(std::move(page), after, Clock::now()); });
        ChangesReplies replies;
        HttpRequest request{http::verb::get, changesTarget(after), 11};
        request.set(http::field::accept_encoding, CompressedEncoding);
        const double answered = measureOnceMs([&] { replies.answer(request, copy); });
        const double released = measureOnceMs([&] { before.reset(); });
        if (n > 0) { // The first version replaces none.
            applyMs = std::min(applyMs, applied);
            answerMs = std::min(answerMs, answered);
            releaseMs = std::min(releaseMs, released);
        }
    }
    std::printf("%6u routes: apply %6.3f ms, first answer to a pull %6.3f ms, release of the old table %6.3f ms\n",
                routes,
                applyMs,
                answerMs,
                releaseMs);
    return registry.routes() != nullptr && registry.routes()->version() == version;
}

} // namespace

int main()
{
    bool understood = true;
    for (const unsigned routes : {100U, 1'000U, 14'000U, 84'000U}) {
        understood = measure(routes) && understood;
    }
    for (const unsigned routes : {100U, 1'000U, 14'000U, 84'000U}) {
        understood = measureSteps(routes) && understood;
    }
    return understood ? 0 : 1;
}
