#include "net/router.h"

#include "laburnumspar/log.h"

#include <algorithm>
#include <xxhash.h>

namespace laburnumspar::detail {

namespace {

constexpr unsigned MaxDispatchers = 3; // one per availability zone; there are three
constexpr Milliseconds AvoidAfterConnectionLoss{1000};
// Added to the deadline of a forwarded request, so that the reply of a dispatcher that stopped at the deadline arrives.
constexpr Milliseconds ReplyGrace{20};

// Refusals due to load: another dispatcher with a free slot may accept the request.
bool isLoadRefusal(Reason reason)
{
    return reason == Reason::QueueFull || reason == Reason::DeadlineTooShort || reason == Reason::TeamShareExceeded
        || reason == Reason::Shed;
}

// Refusals due to the state of the dispatcher or its upstreams: those in another zone may be available.
bool isAvailabilityRefusal(Reason reason)
{
    return reason == Reason::NoUpstream || reason == Reason::ConnectFailed || reason == Reason::NotReady
        || reason == Reason::Leaving || reason == Reason::ConnectionLost || reason == Reason::UnknownService;
}

CallResult failedResult(Outcome outcome, Reason reason, std::string detail = {})
{
    return {outcome, reason, 0, {}, {}, {}, std::move(detail)};
}

// Distinguishes a retry of a request from a different request sent with the same identifier by mistake.
std::uint64_t fingerprint(const CallRequest &call)
{
    const auto head = call.service + '\n' + call.method + '\n' + call.path + '\n' + call.team;
    return XXH64(call.body.data(), call.body.size(), XXH64(head.data(), head.size(), 0));
}

CallResult leavingResult()
{
    return failedResult(Outcome::NotRun, Reason::Leaving, "the instance stops before the deadline of the request");
}

CallResult toResult(ForwardReply reply)
{
    return {reply.outcome,
            reply.reason,
            reply.status,
            std::move(reply.contentType),
            std::move(reply.body),
            std::move(reply.upstream),
            std::move(reply.detail)};
}

} // namespace

ForwardRequest toForwardRequest(const CallRequest &call, HopKind hop, TimePoint now)
{
    ForwardRequest request;
    request.hop = hop;
    request.service = call.service;
    request.path = call.path;
    request.method = call.method;
    request.team = call.team;
    request.requestClass = call.requestClass;
    const auto remaining = std::chrono::duration_cast<Milliseconds>(call.deadline - now).count();
    request.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(remaining, 0));
    request.idempotent = call.idempotent;
    request.requestId = call.requestId;
    request.contentType = call.contentType;
    request.body = call.body;
    return request;
}

CallRequest toCallRequest(ForwardRequest request, TimePoint now)
{
    CallRequest call;
    call.service = std::move(request.service);
    call.path = std::move(request.path);
    call.method = std::move(request.method);
    call.team = std::move(request.team);
    call.requestId = std::move(request.requestId);
    call.contentType = std::move(request.contentType);
    call.body = std::move(request.body);
    call.requestClass = request.requestClass;
    call.idempotent = request.idempotent;
    call.deadline = now + Milliseconds(request.deadlineMs);
    return call;
}

std::string routeStatsKey(const ServiceSettings &settings, const std::string &path)
{
    if (const auto *route = findRoute(settings, path)) {
        return route->prefix;
    }
    return path.substr(0, path.find_first_of("/?", 1));
}

Router::Router(Context context)
    : m_context(std::move(context))
    , m_loads(LockRank::Links)
    , m_forwarded(m_context.metrics.counter("lspar_forwarded_total"))
    , m_ownerGone(m_context.metrics.counter("lspar_owner_gone_total"))
    , m_duplicates(m_context.metrics.counter("lspar_duplicate_requests_total"))
    , m_failovers(m_context.metrics.counter("lspar_failovers_total"))
{
    m_loads.with([&](Loads &loads) { loads.random.seed(m_context.seed); });
}

awaitable<CallResult> Router::handleCall(CallRequest call, CancellationPtr cancellation)
{
    if (call.idempotent) {
        co_return co_await dispatch(call, std::move(cancellation));
    }
    co_return co_await runOnce(std::move(call), std::move(cancellation));
}

awaitable<ForwardReply> Router::handleForward(ForwardRequest request, CancellationPtr cancellation)
{
    const auto hop = request.hop;
    auto call = toCallRequest(std::move(request), Clock::now());
    const auto service = call.service;
    if (const auto settings = m_context.services.settings(service)) {
        call.route = routeStatsKey(*settings, call.path);
    }
    CallResult result;
    if (hop == HopKind::ToOwner) {
        const auto id = parseRequestId(call.requestId);
        const bool own = id && id->owner == m_context.self;
        // Not a conditional expression: g++ 12 destroys its temporaries twice if one branch contains co_await.
        if (own) {
            result = co_await runClaimed(*id, std::move(call), std::move(cancellation));
        } else {
            result = failedResult(Outcome::MayHaveRun, Reason::IdentifierInvalid, "not the owner of the identifier");
        }
    } else if (m_context.mayOutlastInstance(call.deadline)) {
        result = leavingResult();
    } else {
        result = co_await dispatchAt(m_context.self, call, std::move(cancellation));
    }
    ForwardReply reply;
    reply.outcome = result.outcome;
    reply.reason = result.reason;
    reply.status = static_cast<std::uint16_t>(result.status);
    reply.contentType = std::move(result.contentType);
    reply.body = std::move(result.body);
    reply.upstream = std::move(result.upstream);
    reply.detail = std::move(result.detail);
    if (const auto runtime = m_context.services.runtime(service)) {
        reply.load = runtime->load();
    }
    co_return reply;
}

awaitable<CallResult> Router::runOnce(CallRequest call, CancellationPtr cancellation)
{
    auto id = parseRequestId(call.requestId);
    if (!id) {
        id = internalRequestId(call, Clock::now());
    }
    if (!id) {
        co_return failedResult(Outcome::NotRun, Reason::TableFull);
    }
    if (id->owner == m_context.self) {
        co_return co_await runClaimed(*id, std::move(call), std::move(cancellation));
    }
    co_return co_await forwardToOwner(*id, std::move(call), std::move(cancellation));
}

awaitable<CallResult> Router::forwardToOwner(const RequestId &id, CallRequest call, CancellationPtr cancellation)
{
    m_forwarded.add();
    const auto deadline = call.deadline;
    auto request = toForwardRequest(call, HopKind::ToOwner, Clock::now());
    const bool late = m_context.mayOutlastInstance(deadline);
    if (late) {
        // Only the owner knows whether an earlier delivery has run. Without time left, it does not start the request.
        request.deadlineMs = 0;
    }
    auto reply = co_await m_context.peers.forward(id.owner, std::move(request), deadline + ReplyGrace, cancellation);
    if (reply.reason == Reason::ConnectionLost) {
        // This message may not have arrived, but an earlier delivery with the same identifier may have been run.
        m_ownerGone.add();
        co_return failedResult(Outcome::MayHaveRun, Reason::OwnerGone, "the owner of the identifier cannot be reached");
    }
    auto result = toResult(std::move(reply));
    if (late && result.outcome == Outcome::NotRun) {
        result = leavingResult();
    }
    co_return result;
}

CallResult Router::claimRefusal(const ClaimResult &claim)
{
    switch (claim.state) {
    case ClaimState::Done:
        m_duplicates.add();
        if (claim.answer && claim.answer->bodyAvailable) {
            const auto &answer = *claim.answer;
            return {
                answer.outcome, answer.reason, answer.status, answer.contentType, answer.body, {}, "repeated answer"};
        }
        return failedResult(Outcome::MayHaveRun, Reason::DuplicateRequest, "the request has already been run");
    case ClaimState::InFlight:
        m_duplicates.add();
        return failedResult(Outcome::MayHaveRun, Reason::DuplicateRequest, "the request is being run");
    case ClaimState::OtherRequest:
        m_duplicates.add();
        return failedResult(Outcome::NotRun, Reason::DuplicateRequest, "the identifier belongs to another request");
    case ClaimState::Expired:
        return failedResult(Outcome::MayHaveRun, Reason::IdentifierExpired);
    case ClaimState::NotOwner:
        m_ownerGone.add();
        return failedResult(Outcome::MayHaveRun, Reason::OwnerGone, "the owner of the identifier has been restarted");
    case ClaimState::TableFull:
        return failedResult(Outcome::NotRun, Reason::TableFull);
    default:
        return failedResult(Outcome::NotRun, Reason::IdentifierInvalid, "identifier was never issued");
    }
}

awaitable<CallResult> Router::runClaimed(const RequestId &id, CallRequest call, CancellationPtr cancellation)
{
    const auto claim
        = m_context.claims.with([&](ClaimTable &claims) { return claims.claim(id, Clock::now(), fingerprint(call)); });
    if (claim.state != ClaimState::Granted) {
        co_return claimRefusal(claim);
    }
    auto result = co_await dispatch(call, std::move(cancellation));
    m_context.claims.with([&](ClaimTable &claims) {
        StoredAnswer answer{result.outcome, result.reason, {}, result.contentType, result.body, true};
        answer.status = static_cast<std::uint16_t>(result.status);
        claims.complete(id, std::move(answer), Clock::now());
    });
    co_return result;
}

awaitable<CallResult> Router::dispatch(const CallRequest &call, CancellationPtr cancellation)
{
    if (m_context.mayOutlastInstance(call.deadline)) {
        co_return leavingResult();
    }
    std::vector<InstanceId> tried;
    auto result = failedResult(Outcome::NotRun, Reason::NoUpstream, "no dispatcher can be reached");
    bool mayHaveRun = false;
    while (tried.size() < MaxDispatchers) {
        const bool requireFreeSlot = isLoadRefusal(result.reason);
        const auto dispatcher = chooseDispatcher(call, tried, requireFreeSlot);
        if (!dispatcher) {
            break;
        }
        if (!tried.empty()) {
            m_failovers.add();
        }
        result = co_await dispatchAt(*dispatcher, call, cancellation);
        mayHaveRun = mayHaveRun || result.outcome == Outcome::MayHaveRun;
        if (result.outcome == Outcome::NotRun && mayHaveRun) {
            result.outcome = Outcome::MayHaveRun;
        }
        const bool retryable = !mayHaveRun || call.idempotent;
        const bool tryAnother = result.outcome != Outcome::Answered
            && (isLoadRefusal(result.reason) || isAvailabilityRefusal(result.reason));
        if (!tryAnother || !retryable || Clock::now() >= call.deadline) {
            break;
        }
        tried.push_back(*dispatcher);
    }
    co_return result;
}

awaitable<CallResult> Router::dispatchAt(InstanceId dispatcher, const CallRequest &call, CancellationPtr cancellation)
{
    if (dispatcher == m_context.self) {
        const auto runtime = m_context.services.runtime(call.service);
        if (!runtime) {
            co_return failedResult(Outcome::NotRun, Reason::UnknownService);
        }
        co_return co_await runtime->execute(call, std::move(cancellation));
    }
    m_forwarded.add();
    m_loads.with([&](Loads &loads) { loads.table.recordSent(dispatcher, call.service); });
    auto request = toForwardRequest(call, HopKind::ToDispatcher, Clock::now());
    auto reply
        = co_await m_context.peers.forward(dispatcher, std::move(request), call.deadline + ReplyGrace, cancellation);
    const auto now = Clock::now();
    m_loads.with([&](Loads &loads) {
        loads.table.recordDone(dispatcher, call.service);
        if (reply.reason == Reason::ConnectionLost) {
            loads.table.avoidUntil(dispatcher, now + AvoidAfterConnectionLoss);
        } else if (reply.load.service == call.service) {
            loads.table.update(dispatcher, reply.load, now);
        }
    });
    co_return toResult(std::move(reply));
}

std::optional<InstanceId>
Router::chooseDispatcher(const CallRequest &call, const std::vector<InstanceId> &exclude, bool requireFreeSlot)
{
    const auto candidates = m_context.services.dispatchers(call.service);
    const auto now = Clock::now();
    const auto ownRuntime = m_context.services.runtime(call.service);
    const auto ownLoad = ownRuntime ? std::optional(ownRuntime->load()) : std::nullopt;
    return m_loads.with([&](Loads &loads) -> std::optional<InstanceId> {
        if (ownLoad) {
            loads.table.update(m_context.self, *ownLoad, now);
        }
        auto choice = loads.table.choose(
            call.service, call.requestClass, candidates, exclude, m_context.zone, now, loads.random);
        if (choice && requireFreeSlot && !loads.table.hasFreeSlot(*choice, call.service)) {
            return std::nullopt;
        }
        return choice;
    });
}

std::optional<RequestId> Router::internalRequestId(const CallRequest &call, TimePoint now)
{
    return m_context.claims.with(
        [&](ClaimTable &claims) { return m_callerRequestIds.idFor(call.team, call.requestId, claims, now); });
}

void Router::updateLoad(const InstanceId &dispatcher, const ServiceLoad &load, TimePoint at)
{
    m_loads.with([&](Loads &loads) { loads.table.update(dispatcher, load, at); });
}

std::vector<DispatcherLoadRecord> Router::loads(TimePoint now)
{
    return m_loads.with([&](Loads &loads) { return loads.table.dump(now); });
}

std::optional<std::string> Router::issueId()
{
    const auto id = m_context.claims.with([](ClaimTable &claims) { return claims.issueOne(Clock::now()); });
    return id ? std::optional(toString(*id)) : std::nullopt;
}

std::vector<std::string> Router::issueIds(std::size_t count)
{
    const auto ids = m_context.claims.with([&](ClaimTable &claims) { return claims.issue(count, Clock::now()); });
    std::vector<std::string> texts;
    for (const auto &id : ids) {
        texts.push_back(toString(id));
    }
    return texts;
}

} // namespace laburnumspar::detail
