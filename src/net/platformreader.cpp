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

} // namespace

PlatformReader::PlatformReader(Context context)
    : m_context(std::move(context))
    , m_calls(m_context.metrics.counter("lspar_platform_calls_total"))
    , m_failures(m_context.metrics.counter("lspar_platform_failures_total"))
    , m_rejected(m_context.metrics.counter("lspar_platform_rejected_total"))
{
}

template <typename Parser>
auto PlatformReader::parse(std::string_view call, const Reply &reply, Parser parser)
    -> std::optional<decltype(parser(std::string()))>
{
    if (!reply.body) {
        return std::nullopt;
    }
    try {
        return parser(*reply.body);
    } catch (const DecodeError &e) {
        m_rejected.add();
        logEvent(LogLevel::Warning, "platform.bad-answer", {{"call", call}, {"error", e.what()}});
        return std::nullopt;
    }
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
        const auto reply
            = co_await httpGet(m_context.dialect.watchTarget(ValuesPrefix, after, wait), wait + CallTimeout);
        const auto changes
            = parse("watch", reply, [&](const std::string &body) { return m_context.dialect.parseChanges(body); });
        const bool complete = changes && co_await readChanges(changes->values);
        if (complete) {
            after = std::max(after, changes->version);
        } else if (!changes && reply.failure != ReplyFailure::Unavailable) {
            // The same changes would come back, so the next watch starts from the beginning.
            after = Revision();
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
        const auto reply = co_await httpGet(m_context.dialect.readTarget(change.path), CallTimeout);
        const auto value
            = parse("read", reply, [&](const std::string &body) { return m_context.dialect.parseValue(body); });
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
        const auto reply = co_await httpGet(m_context.dialect.instancesTarget(), CallTimeout);
        const auto instances = parse(
            "instances", reply, [&](const std::string &body) { return m_context.dialect.parseInstances(body); });
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

awaitable<PlatformReader::Reply> PlatformReader::httpGet(std::string target, Milliseconds timeout)
{
    m_calls.add();
    const auto &address = m_context.addresses[m_nextAddress % m_context.addresses.size()];
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    auto [connectError] = co_await stream.async_connect(toAsio<tcp>(address), NoThrowAwaitable);
    if (connectError) {
        co_return fail(target, ReplyFailure::Unavailable, connectError.message());
    }
    http::request<http::empty_body> request{http::verb::get, target, 11};
    request.set(http::field::host, toString(address));
    request.keep_alive(false);
    auto [writeError, written] = co_await http::async_write(stream, request, NoThrowAwaitable);
    if (writeError) {
        co_return fail(target, ReplyFailure::Unavailable, writeError.message());
    }
    beast::flat_buffer buf(MaxUnparsedBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    const auto readError = co_await readMessage(stream, buf, parser, nullptr);
    if (readError) {
        co_return fail(target, readFailure(readError, parser.is_header_done()), readError.message());
    }
    if (const auto status = parser.get().result_int(); status != unsigned(http::status::ok)) {
        co_return fail(target, statusFailure(status), "HTTP status " + std::to_string(status));
    }
    m_lastSuccessAt = Clock::now();
    co_return Reply{std::move(parser.get().body())};
}

PlatformReader::Reply PlatformReader::fail(std::string_view target, ReplyFailure failure, std::string_view error)
{
    if (failure != ReplyFailure::Unavailable) {
        m_rejected.add();
        logEvent(LogLevel::Warning,
                 "platform.reply-rejected",
                 {{"target", target}, {"failure", name(failure)}, {"error", error}});
    }
    return {std::nullopt, failure};
}

} // namespace laburnumspar::detail
