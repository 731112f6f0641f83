#include "latecallers.h"

#include "callerrequest.h"
#include "platform/names.h"

#include <array>

namespace laburnumspar::soak {

namespace names = platform::names;
namespace http = detail::http;
using detail::NoThrowAwaitable;

namespace {

constexpr Milliseconds RequestInterval{50};
constexpr Milliseconds RequestDeadline{5000};
/// An answer this long before the deadline counts as a timeout, since instances answer shortly before it.
constexpr Milliseconds DeadlineMargin{100};
constexpr Milliseconds ConnectTimeout{1000};
/// Longest time for which some callers keep a connection before they send a request on it.
constexpr Milliseconds MaxIdleTime{2000};
/// A request that was sent later than this after SIGTERM must not be broken off.
constexpr Milliseconds LastExcusedSend{3000};
/// A request that was sent earlier must not be broken off before the last part of the grace period, one in so many.
constexpr int ExcusedParts = 6;
/// A connection that ends without an answer later than this after its request was sent has been cut, even if the
/// request has not been passed on.
constexpr Milliseconds LossSlack{200};
/// Execution times, one of which is drawn for each request.
constexpr std::array<int, 4> ExecutionTimesMs{30, 400, 1800, 4200};

} // namespace

/// A process that has been asked to stop.
struct LateCallers::Stop {
    unsigned instance = 0;
    std::string incarnation;
    TimePoint requestedAt;
    bool connectionRefused = false;
};

/// A request and how it ended.
struct LateCallers::Request {
    std::string id;
    TimePoint sent;
    boost::system::error_code error; ///< of the connection, if there was no complete answer
    http::response<http::string_body> response;
};

LateCallers::LateCallers(boost::asio::io_context &context,
                         AddressLayout layout,
                         InstanceProcesses &instances,
                         GuaranteeChecker &checker,
                         std::uint64_t seed)
    : m_context(context)
    , m_layout(layout)
    , m_instances(instances)
    , m_checker(checker)
    , m_random(seed)
{
}

void LateCallers::useUntilGone(unsigned instance)
{
    auto stop = std::make_shared<Stop>(Stop{instance, m_instances.incarnation(instance), Clock::now()});
    boost::asio::co_spawn(m_context, sendRequests(std::move(stop)), [](std::exception_ptr error) {
        detail::handleTaskException(std::move(error), "late-callers");
    });
}

detail::awaitable<void> LateCallers::sendRequests(std::shared_ptr<Stop> stop)
{
    while (!stop->connectionRefused && m_instances.incarnation(stop->instance) == stop->incarnation) {
        boost::asio::co_spawn(m_context, sendRequest(stop), [](std::exception_ptr error) {
            detail::handleTaskException(std::move(error), "late-request");
        });
        co_await detail::sleepFor(RequestInterval);
    }
}

detail::awaitable<void> LateCallers::sendRequest(std::shared_ptr<Stop> stop)
{
    boost::beast::tcp_stream stream(m_context);
    stream.expires_after(ConnectTimeout);
    const auto address = detail::toAsio<detail::tcp>(m_layout.callers(stop->instance));
    auto [connectError] = co_await stream.async_connect(address, NoThrowAwaitable);
    if (connectError) {
        stop->connectionRefused = true;
        co_return;
    }
    if (m_random() % 3 == 0) {
        co_await detail::sleepFor(Milliseconds(m_random() % unsigned(MaxIdleTime.count())));
    }
    Request it;
    it.id = "late" + std::to_string(m_nextRequest++);
    const bool idempotent = m_random() % 4 == 0;
    const auto time = ExecutionTimesMs.at(m_random() % ExecutionTimesMs.size());
    const auto target = (idempotent ? "/safe/" : "/unsafe/") + it.id + "?work_ms=" + std::to_string(time);
    auto request = makeRequest(http::verb::post, target, it.id, RequestDeadline);
    request.body() = "body of " + it.id;
    request.prepare_payload();
    m_checker.recordSent(it.id, idempotent);
    it.sent = Clock::now();
    stream.expires_after(2 * RequestDeadline);
    auto [writeError, written] = co_await http::async_write(stream, request, NoThrowAwaitable);
    it.error = writeError;
    if (!writeError) {
        boost::beast::flat_buffer buf;
        auto [readError, read] = co_await http::async_read(stream, buf, it.response, NoThrowAwaitable);
        it.error = readError;
    }
    checkEnd(it, *stop);
}

void LateCallers::checkEnd(const Request &request, const Stop &stop)
{
    const auto now = Clock::now();
    const auto status = request.response.result_int();
    if (!request.error && impliesNotRun(status)) {
        m_checker.recordNotRun(request.id);
        if (request.response.find(http::field::retry_after) == request.response.end()) {
            m_checker.recordViolation("not-run answer without Retry-After: " + request.id);
        }
        return;
    }
    if (!request.error && status == 200) {
        m_checker.recordAnswer(request.id, request.response.find(names::ResponseSig) != request.response.end());
        return;
    }
    m_checker.recordFailure(request.id);
    const bool executed = m_checker.wasExecuted(request.id);
    if (!executed && !(request.error && now - request.sent > LossSlack)) {
        return;
    }
    const auto sentAfter = std::chrono::duration_cast<Milliseconds>(request.sent - stop.requestedAt);
    const auto endedAfter = std::chrono::duration_cast<Milliseconds>(now - stop.requestedAt);
    const auto times = request.id + ", sent " + std::to_string(sentAfter.count()) + " ms and ended "
        + std::to_string(endedAfter.count()) + " ms after SIGTERM of " + stop.incarnation;
    if (request.error) {
        m_checker.recordViolation("connection closed without an answer to "
                                  + std::string(executed ? "an executed" : "a") + " request: " + times);
    }
    if (!executed) {
        return;
    }
    const bool timedOut = now - request.sent >= RequestDeadline - DeadlineMargin;
    const bool excused
        = sentAfter <= LastExcusedSend && endedAfter >= m_instances.gracePeriod() * (ExcusedParts - 1) / ExcusedParts;
    if (!excused && !timedOut) {
        m_checker.recordViolation("executed request was broken off: " + times);
    }
}

} // namespace laburnumspar::soak
