#pragma once

#include "addresslayout.h"
#include "guaranteechecker.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace laburnumspar::soak {

/// Runs the instances of the fleet as child processes. Sends signals only to processes that it has started.
class InstanceProcesses
{
public:
    /// `gracePeriod`: time within which a process must exit after SIGTERM; grace_s in its settings.
    InstanceProcesses(std::string program,
                      std::string directory,
                      AddressLayout layout,
                      Milliseconds gracePeriod,
                      GuaranteeChecker &checker);
    ~InstanceProcesses();
    InstanceProcesses(const InstanceProcesses &) = delete;
    InstanceProcesses &operator=(const InstanceProcesses &) = delete;

    void start(unsigned n);
    /// Sends SIGTERM. The process must exit with status 0 within the grace period, counted from the first SIGTERM.
    void terminate(unsigned n);
    void kill(unsigned n);
    void pause(unsigned n);
    void resume(unsigned n);
    /// Rewrites the settings file and sends SIGHUP.
    void reload(unsigned n);
    /// Reaps processes that have exited and kills those that exceed the grace period. Reports unexpected exits, a
    /// status other than 0 after SIGTERM, and exceeded grace periods as violations. Must be called frequently.
    void checkProcesses();
    /// Records an external disturbance, such as a fault on the link to the store.
    void markDisturbed(unsigned n);

    bool isRunning(unsigned n) const;
    bool isStopping(unsigned n) const;
    bool isPaused(unsigned n) const;
    /// True if the process is running and was not disturbed within the time in which it may still use outdated state.
    bool isSettled(unsigned n) const;
    /// True if the process is paused, or was killed, paused or resumed since `since`.
    bool wasInterrupted(unsigned n, TimePoint since) const;
    /// Name of the instance with the number of its starts.
    std::string incarnation(unsigned n) const;
    Milliseconds gracePeriod() const
    {
        return m_gracePeriod;
    }
    unsigned count() const
    {
        return unsigned(m_processes.size());
    }
    /// Number of processes that run and are neither paused nor stopping.
    unsigned running() const;
    /// Adds an instance without starting it.
    void add();

private:
    struct Process {
        pid_t pid = 0; ///< 0 while not running
        unsigned startCount = 0;
        bool paused = false;
        std::optional<TimePoint> stopRequestedAt;
        TimePoint disturbedAt; ///< last event after which its state may be outdated
        TimePoint interruptedAt; ///< last time at which it was killed, paused or resumed
    };

    void writeSettings(unsigned n) const;
    std::string filePath(unsigned n, const std::string &suffix) const;
    void sendSignal(unsigned n, int number);

    std::string m_program;
    std::string m_directory;
    AddressLayout m_layout;
    Milliseconds m_gracePeriod;
    GuaranteeChecker &m_checker;
    std::vector<Process> m_processes;
};

} // namespace laburnumspar::soak
