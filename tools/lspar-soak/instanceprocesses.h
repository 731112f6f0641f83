#pragma once

#include "addresslayout.h"
#include "guaranteechecker.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace laburnumspar::soak {

/// The instances of the fleet as processes of their own. Signals go only to processes that this object has started.
class Instances
{
public:
    Instances(std::string program, std::string directory, Layout layout, Promises &promises);
    ~Instances();
    Instances(const Instances &) = delete;
    Instances &operator=(const Instances &) = delete;

    void start(unsigned n);
    /// SIGTERM: the process has to end by itself, with nothing lost.
    void terminate(unsigned n);
    void kill(unsigned n);
    void pause(unsigned n);
    void resume(unsigned n);
    void reload(unsigned n);
    /// Notes ended processes and resumes none; to be called often.
    void check();
    /// Marks a disturbance from outside, such as a cut of its links.
    void disturb(unsigned n);

    bool isRunning(unsigned n) const;
    bool isStopping(unsigned n) const;
    bool isPaused(unsigned n) const;
    /// Nothing has been done to the process or its links for the time in which it may catch up.
    bool isCalm(unsigned n) const;
    /// Whether the process was killed or paused since `since`.
    bool wasBroken(unsigned n, TimePoint since) const;
    std::string incarnation(unsigned n) const;
    unsigned count() const
    {
        return unsigned(m_processes.size());
    }
    unsigned running() const;
    void add();

private:
    struct Process {
        pid_t pid = 0;
        unsigned starts = 0;
        bool paused = false;
        std::optional<TimePoint> stopping;
        TimePoint disturbed;
        TimePoint broken;
    };

    void writeSettings(unsigned n) const;
    std::string pathOf(unsigned n, const std::string &suffix) const;
    void signal(unsigned n, int number);

    std::string m_program;
    std::string m_directory;
    Layout m_layout;
    Promises &m_promises;
    std::vector<Process> m_processes;
};

} // namespace laburnumspar::soak
