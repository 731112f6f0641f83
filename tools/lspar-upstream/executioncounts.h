#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumspar::tools {

/// Number of executions of one request on all upstreams of the process.
struct ExecutionCount {
    std::uint32_t started = 0;
    std::uint32_t finished = 0;
};

/// Counts executions by request key, to detect requests that were executed more than once. Thread-safe.
class ExecutionCounts
{
public:
    using Entry = std::pair<std::string, ExecutionCount>;

    void recordStart(const std::string &key);
    void recordFinish(const std::string &key);

    /// Entries of those of the keys whose execution started at least once.
    std::vector<Entry> lookup(const std::vector<std::string> &keys) const;
    /// Entries whose execution started more than once.
    std::vector<Entry> startedRepeatedly() const;

private:
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<std::string, ExecutionCount> counts;
    };
    const Shard &shardFor(const std::string &key) const;
    Shard &shardFor(const std::string &key);

    std::array<Shard, 16> m_shards;
};

} // namespace laburnumspar::tools
