#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumspar::tools {

/// How often one request was executed, over all upstreams of the process.
struct RunCount {
    std::uint32_t started = 0;
    std::uint32_t finished = 0;
};

/// Executions by request key. Thread-safe.
class RunLedger
{
public:
    using Entry = std::pair<std::string, RunCount>;

    void noteStart(const std::string &key);
    void noteFinish(const std::string &key);

    /// Entries of those keys that were started at least once.
    std::vector<Entry> lookup(const std::vector<std::string> &keys) const;
    /// Entries that were started more than once.
    std::vector<Entry> repeated() const;

private:
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<std::string, RunCount> runs;
    };
    const Shard &shardOf(const std::string &key) const;
    Shard &shardOf(const std::string &key);

    std::array<Shard, 16> m_shards;
};

} // namespace laburnumspar::tools
