#pragma once

#include "dispatchersupport.h"

#include <rapidcheck.h>

#include <map>
#include <set>

namespace laburnumspar {

/// A random call of the dispatcher.
struct Operation {
    std::uint8_t kind;
    std::uint8_t choice;
    std::uint8_t amount;
};

/// Applies random operations to a dispatcher and checks every decision against its own record of the started requests.
class DispatcherModel
{
public:
    explicit DispatcherModel(LongPlacement placement)
        : m_dispatcher(Dispatcher::Builder()
                           .queueLimit(12)
                           .longPlacement(placement)
                           .teamShares({{"t1", 2}})
                           .admissionHook([this](const UpstreamId &id, TimePoint) { return m_admissions[id]; })
                           .build())
    {
        changeUpstreams(5 + 16 * 3);
    }

    void apply(const Operation &operation)
    {
        m_now += operation.amount % 16;
        switch (operation.kind % 8) {
        case 0:
            finishOne(operation);
            break;
        case 1:
            finishOne(operation);
            break;
        case 2:
            cancelOne(operation.choice % (m_next + 1));
            break;
        case 3:
            checkDecisions(m_dispatcher.poll(at(m_now)));
            break;
        case 4:
            changeUpstreams(operation.choice);
            break;
        default:
            submit(operation);
        }
    }

    /// Finishes all running requests and checks that every request has got a decision.
    void drain()
    {
        while (!m_running.empty()) {
            finishOne({0, 0, 0});
        }
        checkDecisions(m_dispatcher.poll(at(m_now + 1000)));
        RC_ASSERT(m_decided.size() == m_deadlines.size());
        RC_ASSERT(m_dispatcher.load().queued == 0U);
    }

private:
    void submit(const Operation &operation)
    {
        const int deadline = m_now + operation.choice;
        const bool isLong = operation.amount % 5 == 0;
        auto request = isLong ? longRequest(m_next, deadline) : shortRequest(m_next, deadline);
        request.team = "t" + std::to_string(operation.choice % 3);
        if (operation.amount % 7 == 0) {
            request.exclude = {upstream(1)};
        }
        m_deadlines[m_next++] = deadline;
        checkDecisions(m_dispatcher.submit(request, at(m_now)));
    }

    void finishOne(const Operation &operation)
    {
        if (m_running.empty()) {
            return;
        }
        const auto it = std::next(m_running.begin(), operation.choice % m_running.size());
        const auto [ticket, id] = *it;
        m_running.erase(it);
        --m_outstanding[id];
        Completion completion = done(0);
        completion.reason = operation.amount % 9 == 1 ? Reason::Shed : Reason::None;
        if (operation.amount % 3 == 0) {
            completion.reportedInFlight = operation.amount % 5;
        }
        checkDecisions(m_dispatcher.finish(ticket, completion, at(m_now)));
    }

    /// `ticket` may be the one that will be submitted next: the dispatcher must ignore it.
    void cancelOne(std::uint64_t ticket)
    {
        if (ticket < m_next) {
            m_cancelled.insert(ticket);
        }
        checkDecisions(m_dispatcher.cancel(ticket, at(m_now)));
    }

    void changeUpstreams(unsigned bits)
    {
        m_slots.clear();
        std::vector<UpstreamCapacity> pool;
        for (int n = 1; n <= 3; ++n) {
            if (bits >> n & 1) {
                m_admissions[upstream(n)] = {bits >> 4, bits >> n & 1};
                m_slots[upstream(n)] = std::min(unsigned(n), bits >> 4);
                pool.push_back({upstream(n), unsigned(n)});
            }
        }
        m_dispatcher.setUpstreams(pool, at(m_now));
    }

    void checkDecisions(const std::vector<Decision> &decisions)
    {
        for (const Decision &decision : decisions) {
            RC_ASSERT(m_deadlines.count(decision.ticket) == 1U);
            RC_ASSERT(m_decided.insert(decision.ticket).second);
            if (decision.kind == Decision::Kind::Start) {
                RC_ASSERT(m_deadlines[decision.ticket] > m_now);
                RC_ASSERT(m_cancelled.count(decision.ticket) == 0U);
                RC_ASSERT(++m_outstanding[decision.upstream] <= m_slots[decision.upstream]);
                m_running[decision.ticket] = decision.upstream;
            }
        }
    }

    std::map<UpstreamId, Admission> m_admissions;
    Dispatcher m_dispatcher;
    int m_now = 0;
    std::uint64_t m_next = 0;
    std::map<UpstreamId, unsigned> m_slots;
    std::map<UpstreamId, unsigned> m_outstanding;
    std::map<std::uint64_t, UpstreamId> m_running;
    std::map<std::uint64_t, int> m_deadlines;
    std::set<std::uint64_t> m_decided;
    std::set<std::uint64_t> m_cancelled;
};

} // namespace laburnumspar

namespace rc {

template <>
struct Arbitrary<laburnumspar::Operation> {
    static Gen<laburnumspar::Operation> arbitrary()
    {
        using laburnumspar::Operation;
        return gen::build<Operation>(gen::set(&Operation::kind, gen::inRange<std::uint8_t>(0, 255)),
                                     gen::set(&Operation::choice, gen::inRange<std::uint8_t>(0, 255)),
                                     gen::set(&Operation::amount, gen::inRange<std::uint8_t>(0, 255)));
    }
};

} // namespace rc
