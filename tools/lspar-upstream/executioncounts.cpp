#include "executioncounts.h"

#include <functional>

namespace laburnumspar::tools {

const RunLedger::Shard &RunLedger::shardOf(const std::string &key) const
{
    return m_shards[std::hash<std::string>()(key) % m_shards.size()];
}

RunLedger::Shard &RunLedger::shardOf(const std::string &key)
{
    return m_shards[std::hash<std::string>()(key) % m_shards.size()];
}

void RunLedger::noteStart(const std::string &key)
{
    auto &shard = shardOf(key);
    std::lock_guard lock(shard.mutex);
    ++shard.runs[key].started;
}

void RunLedger::noteFinish(const std::string &key)
{
    auto &shard = shardOf(key);
    std::lock_guard lock(shard.mutex);
    ++shard.runs[key].finished;
}

std::vector<RunLedger::Entry> RunLedger::lookup(const std::vector<std::string> &keys) const
{
    std::vector<Entry> found;
    for (const auto &key : keys) {
        const auto &shard = shardOf(key);
        std::lock_guard lock(shard.mutex);
        const auto it = shard.runs.find(key);
        if (it != shard.runs.end()) {
            found.emplace_back(*it);
        }
    }
    return found;
}

std::vector<RunLedger::Entry> RunLedger::repeated() const
{
    std::vector<Entry> found;
    for (const auto &shard : m_shards) {
        std::lock_guard lock(shard.mutex);
        for (const auto &entry : shard.runs) {
            if (entry.second.started > 1) {
                found.emplace_back(entry);
            }
        }
    }
    return found;
}

} // namespace laburnumspar::tools
