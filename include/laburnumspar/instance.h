#pragma once

#include "laburnumspar/settings.h"

#include <memory>
#include <string>

namespace laburnumspar {

/// One running process of the fleet. Throws TransportError if an address cannot be bound.
class Instance
{
public:
    class Builder;

    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /// Serves until a stop has completed. Returns 0, or 1 if requests were aborted.
    int run();
    /// First call: graceful shutdown. Second call: aborts what is in flight. Safe to call from any thread.
    void requestStop();
    /// Applies what may change while running (log level). Safe to call from any thread.
    void reload(const ProcessSettings &settings);

private:
    class Private;
    explicit Instance(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

class Instance::Builder
{
public:
    Builder &settings(ProcessSettings settings);
    /// Seed of all random choices; 0 takes one from the system.
    Builder &seed(std::uint64_t seed);
    std::unique_ptr<Instance> build() const;

private:
    ProcessSettings m_settings;
    std::uint64_t m_seed = 0;
};

} // namespace laburnumspar
