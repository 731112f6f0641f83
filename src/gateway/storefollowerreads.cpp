#include "gateway/storefollower.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

// Reads of the store, and what follows from replies that cannot be used.

namespace laburnumspar::detail {

namespace {

/// Longest time that the store may hold a watch request open. A connection without an answer is closed shortly after.
constexpr Milliseconds WatchWait{700};
constexpr Milliseconds ReadTimeout{1000};

} // namespace

awaitable<void> StoreFollower::readStore()
{
    const auto before = m_copy.mirror().newestRevision();
    if (m_copy.position()) {
        co_await readChanges();
    }
    // There is no position at the start, after the store has dropped its history, and after changes that could not be
    // used. The changes in the gap appear only in a full list, so it is read at once.
    if (!m_copy.position() && m_listingPace.isDue(Clock::now())) {
        m_listingPace.begin(Clock::now());
        co_await readAll();
    }
    announceIfChanged(before);
}

awaitable<bool> StoreFollower::readAll()
{
    StoreCopy::Listing listing;
    bool complete = true;
    const std::vector<std::string> prefixes{m_adapter.upstreamPrefix, m_adapter.routesPrefix};
    for (const auto &prefix : prefixes) {
        const auto failure = co_await readPages(prefix, listing);
        if (failure == ReplyFailure::Unavailable) {
            co_return false;
        }
        // What another prefix lists can be used although the list is not complete.
        complete = complete && failure == ReplyFailure::None;
    }
    if (!complete) {
        co_return false;
    }
    const ScopedStep step(m_hooks.stepEnded, "store.finish-listing");
    m_copy.finishListing(listing, Clock::now());
    m_listingPace.recordCompletion();
    co_return true;
}

awaitable<ReplyFailure> StoreFollower::readPages(const std::string &prefix, StoreCopy::Listing &listing)
{
    std::string after;
    bool more = true;
    while (more) {
        const auto target = m_adapter.listTarget(prefix, after);
        auto [page, failure] = co_await queryStore(target, ReadTimeout, Query::List);
        if (!page) {
            co_return failure;
        }
        more = page->truncated && !page->items.empty();
        if (more) {
            after = page->items.back().key;
        }
        const ScopedStep step(m_hooks.stepEnded, "store.apply-page");
        if (!m_copy.applyPage(std::move(*page), listing, Clock::now())) {
            co_return ReplyFailure::Unavailable;
        }
    }
    co_return ReplyFailure::None;
}

awaitable<bool> StoreFollower::readChanges()
{
    const auto after = *m_copy.position();
    const auto target = m_adapter.watchTarget("", after, WatchWait);
    auto [page, failure] = co_await queryStore(target, WatchWait + ReadTimeout / 2, Query::Changes);
    const ScopedStep step(m_hooks.stepEnded, "store.apply-changes");
    co_return page &&m_copy.applyChanges(std::move(*page), after, Clock::now());
}

awaitable<StoreFollower::QueryResult>
StoreFollower::queryStore(const std::string &target, Milliseconds timeout, Query query)
{
    ++m_storeCalls;
    const auto begin = Clock::now();
    const auto reply = co_await m_store.get(target, timeout);
    const auto now = Clock::now();
    if (reply.body.size() >= MinWorkerBytes) {
        logEvent(LogLevel::Info,
                 "store.large-reply",
                 {{"query", queryName(query)},
                  {"bytes", reply.body.size()},
                  {"ms", std::chrono::duration_cast<Milliseconds>(now - begin).count()}});
    }
    if (reply.status == 0) {
        co_return rejectReply(query, reply.failure, reply.error, now);
    }
    if (reply.status != 200 && !isHistoryGone(reply, query)) {
        co_return rejectReply(query, statusFailure(reply.status), "HTTP status " + std::to_string(reply.status), now);
    }
    co_return co_await decodeReply(reply, query, now);
}

awaitable<StoreFollower::QueryResult> StoreFollower::decodeReply(const ChannelReply &reply, Query query, TimePoint now)
{
    try {
        const auto era = enterEra(reply, now);
        if (!era) {
            co_return rejectReply(query, ReplyFailure::Unavailable, "the answer is from an earlier era", now);
        }
        if (isHistoryGone(reply, query)) {
            logEvent(
                LogLevel::Warning, "store.history-gone", {{"after", m_copy.position().value_or(Revision()).number}});
            recordStoreAnswer(now);
            m_copy.forgetPosition();
            co_return QueryResult{std::nullopt, ReplyFailure::Unavailable};
        }
        const auto &decode = query == Query::Changes ? m_adapter.decodeChanges : m_adapter.decodePage;
        const auto decodeBody = [&] { return decode(reply.body, *era); };
        PlatformAdapter::Page page;
        if (reply.body.size() < MinWorkerBytes) {
            page = decodeBody();
        } else {
            page = co_await m_worker.run(decodeBody);
        }
        recordStoreAnswer(now);
        co_await prepareRoutes(page.items);
        co_return QueryResult{std::move(page), ReplyFailure::None};
    } catch (const DecodeError &e) {
        co_return rejectReply(query, ReplyFailure::Malformed, e.what(), now);
    }
}

const char *StoreFollower::queryName(Query query)
{
    return query == Query::List ? "list" : "changes";
}

/// Whether the store no longer has the changes after the revision that was asked for.
bool StoreFollower::isHistoryGone(const ChannelReply &reply, Query query)
{
    return reply.status == unsigned(http::status::gone) && query == Query::Changes;
}

StoreFollower::QueryResult
StoreFollower::rejectReply(Query query, ReplyFailure failure, const std::string &error, TimePoint now)
{
    // Changes that do not arrive in time would be as long the next time. A list is mostly shorter.
    const bool changesTooSlow = query == Query::Changes && failure == ReplyFailure::TooSlow;
    if (!isPersistent(failure) && !changesTooSlow) {
        recordStoreFailure(error, now);
        return {std::nullopt, ReplyFailure::Unavailable};
    }
    ++m_rejectedReplies;
    logEvent(LogLevel::Warning,
             "store.reply-rejected",
             {{"query", queryName(query)},
              {"after", m_copy.position().value_or(Revision()).number},
              {"failure", name(failure)},
              {"error", error}});
    m_copy.forgetPosition();
    m_listingPace.recordRejection(query == Query::List);
    return {std::nullopt, failure};
}

/// Returns the era in which the store has answered, or no value if the answer is outdated. An answer that states none
/// belongs to the known era. Throws DecodeError.
std::optional<std::uint64_t> StoreFollower::enterEra(const ChannelReply &reply, TimePoint now)
{
    const auto header = reply.headers.find(m_adapter.eraHeader);
    if (header == reply.headers.end()) {
        return m_copy.era();
    }
    const auto era = m_adapter.decodeEra({header->value().data(), header->value().size()});
    return m_copy.enterEra(era, now) ? std::optional(era) : std::nullopt;
}

} // namespace laburnumspar::detail
