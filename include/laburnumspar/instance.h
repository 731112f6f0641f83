#pragma once

#include "laburnumspar/settings.h"

#include <memory>
#include <string>

namespace laburnumspar {

/// One running instance of the fleet. Building it binds its addresses.
class Instance
{
public:
    class Builder;

    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /// Serves requests until a requested stop has completed. Returns 0, or 1 if requests were aborted.
    int run();
    /// The first call starts a graceful shutdown; the second aborts the requests in flight. Safe to call from any
    /// thread.
    void requestStop();
    /// Applies the settings that can change at run time: the log level. Safe to call from any thread.
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
    /// Seed of the random number generators; 0 takes one from the operating system.
    Builder &seed(std::uint64_t seed);
    /// Throws TransportError if an address cannot be bound.
    std::unique_ptr<Instance> build() const;

private:
    ProcessSettings m_settings;
    std::uint64_t m_seed = 0;
};

} // namespace laburnumspar
