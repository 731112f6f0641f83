#include "net/platformreader.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"
#include "net/messagereader.h"

namespace laburnumspar::detail {

namespace {

constexpr Milliseconds CallInterval{1000}; // at most one watch and one list call per second
constexpr Milliseconds WatchTimeout{10000};
constexpr Milliseconds CallTimeout{2000};
constexpr Milliseconds RoleCheckInterval{200};
constexpr std::uint64_t MaxAnswerBytes = 64 << 20;
// Limits the rate of reads after a long outage: three readers together stay below 300 calls per second.
constexpr Milliseconds ReadInterval{10};
constexpr std::string_view ValuesPrefix = "/teams/";

// Returns the result of the parser. Logs a reply that cannot be decoded and returns an empty value.
template <typename Parser>
auto parse(std::string_view call, Parser parser) -> std::optional<decltype(parser())>
{
    try {
        return parser();
    } catch (const DecodeError &e) {
        logEvent(LogLevel::Warning, "platform.bad-answer", {{"call", call}, {"error", e.what()}});
        return std::nullopt;
    }
}

} // namespace

PlatformReader::PlatformReader(Context context)
    : m_context(std::move(context))
    , m_calls(m_context.metrics.counter("lspar_platform_calls_total"))
    , m_failures(m_context.metrics.counter("lspar_platform_failures_total"))
{
}

void PlatformReader::start()
{
    if (m_context.addresses.empty()) {
        return;
    }
    spawn(m_context.io, "platform.values", [this] { return watchValues(); });
    spawn(m_context.io, "platform.instances", [this] { return pollInstances(); });
}

awaitable<void> PlatformReader::watchValues()
{
    Revision after;
    while (!m_stopped) {
        if (!m_context.isSettingsReader()) {
            after = Revision(); // changes are missed while not watching, so the next watch starts from the beginning
            co_await sleepFor(RoleCheckInterval);
            continue;
        }
        const auto startedAt = Clock::now();
        const auto wait = after == Revision() ? Milliseconds(0) : WatchTimeout;
        const auto body
            = co_await httpGet(m_context.dialect.watchTarget(ValuesPrefix, after, wait), wait + CallTimeout);
        std::optional<PlatformVersions> changes;
        if (body) {
            changes = parse("watch", [&] { return m_context.dialect.parseChanges(*body); });
        }
        const bool complete = changes && co_await readChanges(changes->values);
        if (complete) {
            after = std::max(after, changes->version);
        }
        co_await waitForNextCall(startedAt, !complete);
    }
}

awaitable<bool> PlatformReader::readChanges(const std::vector<SettingsVersion> &changes)
{
    bool complete = true;
    for (const auto &change : changes) {
        if (!m_context.isNewer(change)) {
            continue;
        }
        const auto body = co_await httpGet(m_context.dialect.readTarget(change.path), CallTimeout);
        std::optional<PlatformValue> value;
        if (body) {
            value = parse("read", [&] { return m_context.dialect.parseValue(*body); });
        }
        if (value) {
            m_context.onValue(*value);
        }
        complete = complete && value.has_value();
        co_await sleepFor(ReadInterval);
    }
    co_return complete;
}

awaitable<void> PlatformReader::pollInstances()
{
    while (!m_stopped) {
        if (!m_context.isSettingsReader()) {
            co_await sleepFor(RoleCheckInterval);
            continue;
        }
        const auto startedAt = Clock::now();
        const auto body = co_await httpGet(m_context.dialect.instancesTarget(), CallTimeout);
        std::optional<PlatformInstances> instances;
        if (body) {
            instances = parse("instances", [&] { return m_context.dialect.parseInstances(*body); });
        }
        if (instances) {
            logRejected(*instances);
            m_context.onInstances(*instances);
        }
        co_await waitForNextCall(startedAt, !instances);
    }
}

void PlatformReader::logRejected(const PlatformInstances &instances)
{
    const auto count = instances.rejected.size();
    if (count > 0 && instances.rejected != m_lastRejected) {
        logEvent(LogLevel::Warning,
                 "platform.entry-rejected",
                 {{"version", instances.version.number}, {"count", count}, {"error", instances.rejected.front()}});
    }
    m_lastRejected = instances.rejected;
}

awaitable<void> PlatformReader::waitForNextCall(TimePoint startedAt, bool failed)
{
    if (failed) {
        m_failures.add();
        ++m_nextAddress;
    }
    const auto remaining = CallInterval - (Clock::now() - startedAt);
    if (remaining > Clock::duration::zero()) {
        co_await sleepFor(remaining);
    }
}

awaitable<std::optional<std::string>> PlatformReader::httpGet(std::string target, Milliseconds timeout)
{
    m_calls.add();
    const auto &address = m_context.addresses[m_nextAddress % m_context.addresses.size()];
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    auto [connectError] = co_await stream.async_connect(toAsio<tcp>(address), NoThrowAwaitable);
    if (connectError) {
        co_return std::nullopt;
    }
    http::request<http::empty_body> request{http::verb::get, target, 11};
    request.set(http::field::host, toString(address));
    request.keep_alive(false);
    auto [writeError, written] = co_await http::async_write(stream, request, NoThrowAwaitable);
    if (writeError) {
        co_return std::nullopt;
    }
    beast::flat_buffer buf(MaxUnparsedBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    const auto readError = co_await readMessage(stream, buf, parser, nullptr);
    if (readError || parser.get().result() != http::status::ok) {
        co_return std::nullopt;
    }
    m_lastSuccessAt = Clock::now();
    co_return std::move(parser.get().body());
}

} // namespace laburnumspar::detail
