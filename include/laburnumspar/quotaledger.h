#pragma once

#include "laburnumspar/instancegroup.h"
#include "laburnumspar/organisations.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumspar {

/// By how much the requests of an organisation that run within a sliding window may exceed its quota.
struct QuotaTerms {
    Milliseconds window{5000};
    double excessShare = 0; ///< of the quota for the window
    double excessRequests = 0; ///< in addition, per window
};

/// What an instance tells the others about an organisation whose share of the quota it has used up.
struct QuotaReport {
    std::uint64_t organisation = 0; ///< hash of the name
    double demand = 0; ///< arrivals per second at the sender
    unsigned drawn = 0; ///< requests taken from the reserve since the last report
};

/// Limits the requests that organisations may run on all instances together, for the requests that reach this one.
///
/// Answers two load patterns: an organisation that sends many times its quota, to one instance or to all, and many
/// small organisations whose requests meet by chance at one of them. Each instance decides by itself from its share of
/// each quota, which follows the requests that the instances take. docs/design/organisations.md has the bounds.
class QuotaLedger
{
public:
    /// State of one organisation, for reports.
    struct Summary {
        std::string name;
        double share = 0; ///< of the quota that this instance may use
        double tokens = 0;
        double demand = 0; ///< arrivals per second
        bool contended = false;
    };

    /// Decisions so far.
    struct Counts {
        std::uint64_t ownShare = 0; ///< granted from the instance's share
        std::uint64_t reserve = 0; ///< granted from the reserve
        std::uint64_t refused = 0;
    };

    QuotaLedger(std::string selfIp, const QuotaTerms &terms, TimePoint now);

    void setTerms(const QuotaTerms &terms)
    {
        m_terms = terms;
    }
    /// Counts a request that has arrived at this instance, with or without an organisation.
    void recordArrival(TimePoint now);
    /// Takes one request from the quota. Returns nothing if it is granted, otherwise the time until it may be.
    std::optional<Milliseconds> trySpend(const Organisation &organisation, TimePoint now);
    /// Gives back a request that has not run.
    void refund(const std::string &organisationName, TimePoint now);

    /// Requests per second that this instance takes.
    double requestRate(TimePoint now) const;
    /// Sets whether callers are told to use this instance.
    void setActive(bool active)
    {
        m_active = active;
    }
    /// Records the status of another instance, with the requests per second that it takes.
    void receiveStatus(const InstanceStatus &status, TimePoint now);
    void receiveReport(const std::string &ip, const QuotaReport &report, TimePoint now);
    /// Returns up to `max` reports that are due, the most urgent first.
    std::vector<QuotaReport> takeReports(std::size_t max, TimePoint now);
    /// Forgets organisations that have sent nothing for some time. To be called periodically.
    void prune(TimePoint now);

    const Counts &counts() const
    {
        return m_counts;
    }
    /// The organisations with the most arrivals per second.
    std::vector<Summary> largest(std::size_t max, TimePoint now) const;

    static std::uint64_t idOf(std::string_view organisationName);

private:
    /// Exponentially smoothed number of events per second.
    struct SmoothedRate {
        double perSecond = 0;
        TimePoint at;

        void record(TimePoint now);
        double value(TimePoint now) const;
    };

    struct PeerDemand {
        double perSecond = 0;
        TimePoint at;
    };

    struct Account {
        std::string name; ///< empty if only others have reported the organisation
        Quota quota;
        double tokens = 0; ///< of the own share
        double reserve = 0; ///< view of the tokens that all instances have in common
        double drawn = 0; ///< taken from the reserve and not reported yet
        SmoothedRate demand;
        TimePoint updatedAt;
        TimePoint contendedUntil; ///< the demand is reported until then
        std::map<std::string, PeerDemand> peers; ///< by IP address
    };

    /// Another instance that takes requests or may take some.
    struct Peer {
        std::uint64_t incarnation = 0;
        bool active = false;
        double requestRate = 0;
        TimePoint heardAt;
    };

    /// How the instances share each quota, unless the organisation is contended.
    struct Shares {
        double own = 0; ///< part of this instance
        double meanRate = 1; ///< requests per second of an active instance
        double othersWeight = 0; ///< of all other instances together
        double heard = 1; ///< part of the instances that are heard, this one included
        TimePoint calculatedAt;
    };

    Account &accountOf(const Organisation &organisation, TimePoint now);
    void refill(Account &account, TimePoint now) const;
    /// Calculates the shares anew, unless they are recent.
    void updateShares(TimePoint now);
    double shareOf(const Account &account, TimePoint now) const;
    static bool isSilent(const Peer &peer, TimePoint now);
    double weightOf(const Peer &peer, TimePoint now) const;
    bool mayDraw(const Account &account, double share) const;
    double reserveRate(const Quota &quota) const;
    double reserveBurst(const Quota &quota) const;

    std::string m_selfIp;
    QuotaTerms m_terms;
    TimePoint m_started;
    bool m_active = false;
    SmoothedRate m_arrivals;
    Shares m_shares;
    std::map<std::string, Peer> m_peers; ///< by IP address
    std::unordered_map<std::uint64_t, Account> m_accounts;
    std::map<std::uint64_t, TimePoint> m_reported; ///< organisations that need reports, and until when
    TimePoint m_lastPrune;
    Counts m_counts;
};

} // namespace laburnumspar
