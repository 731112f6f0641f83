#include "executioncounts.h"

#include <functional>

namespace laburnumspar::tools {

const ExecutionCounts::Shard &ExecutionCounts::shardFor(const std::string &key) const
{
    return m_shards[std::hash<std::string>()(key) % m_shards.size()];
}

ExecutionCounts::Shard &ExecutionCounts::shardFor(const std::string &key)
{
    return m_shards[std::hash<std::string>()(key) % m_shards.size()];
}

void ExecutionCounts::recordStart(const std::string &key)
{
    auto &shard = shardFor(key);
    std::lock_guard lock(shard.mutex);
    ++shard.counts[key].started;
}

void ExecutionCounts::recordFinish(const std::string &key)
{
    auto &shard = shardFor(key);
    std::lock_guard lock(shard.mutex);
    ++shard.counts[key].finished;
}

std::vector<ExecutionCounts::Entry> ExecutionCounts::lookup(const std::vector<std::string> &keys) const
{
    std::vector<Entry> found;
    for (const auto &key : keys) {
        const auto &shard = shardFor(key);
        std::lock_guard lock(shard.mutex);
        const auto it = shard.counts.find(key);
        if (it != shard.counts.end()) {
            found.emplace_back(*it);
        }
    }
    return found;
}

std::vector<ExecutionCounts::Entry> ExecutionCounts::startedRepeatedly() const
{
    std::vector<Entry> found;
    for (const auto &shard : m_shards) {
        std::lock_guard lock(shard.mutex);
        for (const auto &entry : shard.counts) {
            if (entry.second.started > 1) {
                found.emplace_back(entry);
            }
        }
    }
    return found;
}

} // namespace laburnumspar::tools
