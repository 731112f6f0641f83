#include "instanceprocesses.h"

#include "laburnumspar/errors.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>

namespace laburnumspar::soak {

namespace {

/// Time after a disturbance for which an instance may still use outdated state.
constexpr Milliseconds SettleTime{3000};

} // namespace

InstanceProcesses::InstanceProcesses(std::string program,
                                     std::string directory,
                                     AddressLayout layout,
                                     Milliseconds gracePeriod,
                                     GuaranteeChecker &checker)
    : m_program(std::move(program))
    , m_directory(std::move(directory))
    , m_layout(layout)
    , m_gracePeriod(gracePeriod)
    , m_checker(checker)
{
}

InstanceProcesses::~InstanceProcesses()
{
    for (auto &process : m_processes) {
        if (process.pid > 0) {
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, nullptr, 0);
        }
    }
}

void InstanceProcesses::add()
{
    m_processes.emplace_back();
}

std::string InstanceProcesses::filePath(unsigned n, const std::string &suffix) const
{
    return m_directory + "/instance" + std::to_string(n) + suffix;
}

void InstanceProcesses::writeSettings(unsigned n) const
{
    std::ofstream out(filePath(n, ".toml"));
    out << "[self]\nnode_name = \"instance-" << n << "\"\nip = \"" << m_layout.callers(n).ip << "\"\nzone = \""
        << AddressLayout::zone(n) << "\"\nbootstrap = " << (m_processes[n].startCount == 0 ? "true" : "false")
        << "\n[self.limits]\ncpu_share = 0.5\ncpus = 1\n[network]\nseeds = [\"" << toString(m_layout.peers(0))
        << "\", \"" << toString(m_layout.peers(1)) << "\"]\n[network.listen]\nfront = \""
        << toString(m_layout.callers(n)) << "\"\nready = \"" << toString(m_layout.readiness(n)) << "\"\ncontrol = \""
        << toString(m_layout.peers(n)) << "\"\ndirectory = \"" << toString(m_layout.addresses(n))
        << "\"\n[network.zones]\neast = \"r\"\nwest = \"r\"\n[platform]\nheartbeat_s = 0.5\n[platform.platform]\naddr "
           "= \""
        << toString(m_layout.storeProxy(n)) << "\"\n[terms.bounds]\ngrace_s = " << double(m_gracePeriod.count()) / 1000
        << "\nretry_slack = 60\n";
}

void InstanceProcesses::start(unsigned n)
{
    auto &process = m_processes.at(n);
    writeSettings(n);
    const auto settings = filePath(n, ".toml");
    const auto log = filePath(n, ".log");
    const pid_t pid = ::fork();
    if (pid < 0) {
        throw TransportError("cannot start an instance: fork() failed");
    }
    if (pid == 0) {
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        // Inherited descriptors would keep the listeners of this program open.
        ::close_range(3, ~0U, 0);
        ::execl(m_program.c_str(), m_program.c_str(), "serve", "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
    process.pid = pid;
    ++process.startCount;
    process.paused = false;
    process.stopRequestedAt.reset();
    process.disturbedAt = Clock::now();
}

void InstanceProcesses::sendSignal(unsigned n, int number)
{
    if (m_processes.at(n).pid > 0) {
        ::kill(m_processes[n].pid, number);
    }
}

void InstanceProcesses::terminate(unsigned n)
{
    sendSignal(n, SIGTERM);
    auto &process = m_processes[n];
    process.stopRequestedAt = process.stopRequestedAt.value_or(Clock::now());
}

void InstanceProcesses::kill(unsigned n)
{
    sendSignal(n, SIGKILL);
    auto &process = m_processes[n];
    if (process.pid > 0) {
        ::waitpid(process.pid, nullptr, 0);
    }
    process.pid = 0;
    process.interruptedAt = process.disturbedAt = Clock::now();
}

void InstanceProcesses::pause(unsigned n)
{
    sendSignal(n, SIGSTOP);
    m_processes[n].paused = true;
    m_processes[n].interruptedAt = Clock::now();
}

void InstanceProcesses::resume(unsigned n)
{
    sendSignal(n, SIGCONT);
    auto &process = m_processes[n];
    process.paused = false;
    process.interruptedAt = process.disturbedAt = Clock::now();
}

void InstanceProcesses::reload(unsigned n)
{
    writeSettings(n);
    sendSignal(n, SIGHUP);
}

void InstanceProcesses::markDisturbed(unsigned n)
{
    m_processes.at(n).disturbedAt = Clock::now();
}

void InstanceProcesses::checkProcesses()
{
    const auto now = Clock::now();
    for (unsigned n = 0; n < count(); ++n) {
        auto &process = m_processes[n];
        if (process.pid == 0) {
            continue;
        }
        int status = 0;
        if (::waitpid(process.pid, &status, WNOHANG) == process.pid) {
            process.pid = 0;
            if (!process.stopRequestedAt) {
                m_checker.recordViolation("process exited unexpectedly: " + incarnation(n));
            } else if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
                m_checker.recordViolation("process did not exit with status 0 after SIGTERM: " + incarnation(n));
            }
            process.disturbedAt = now;
        } else if (process.stopRequestedAt && !process.paused
                   && now - std::max(*process.stopRequestedAt, process.interruptedAt) > m_gracePeriod) {
            m_checker.recordViolation("process did not exit within the grace period after SIGTERM: " + incarnation(n));
            kill(n);
        }
    }
}

bool InstanceProcesses::isRunning(unsigned n) const
{
    return m_processes.at(n).pid > 0;
}

bool InstanceProcesses::isStopping(unsigned n) const
{
    return m_processes.at(n).stopRequestedAt.has_value();
}

bool InstanceProcesses::isPaused(unsigned n) const
{
    return m_processes.at(n).paused;
}

bool InstanceProcesses::isSettled(unsigned n) const
{
    const auto &process = m_processes.at(n);
    return process.pid > 0 && !process.paused && !process.stopRequestedAt
        && Clock::now() - process.disturbedAt > SettleTime;
}

bool InstanceProcesses::wasInterrupted(unsigned n, TimePoint since) const
{
    const auto &process = m_processes.at(n);
    return process.paused || process.interruptedAt >= since;
}

std::string InstanceProcesses::incarnation(unsigned n) const
{
    return "instance" + std::to_string(n) + "#" + std::to_string(m_processes.at(n).startCount);
}

unsigned InstanceProcesses::running() const
{
    return unsigned(std::count_if(m_processes.begin(), m_processes.end(), [](const Process &it) {
        return it.pid > 0 && !it.paused && !it.stopRequestedAt;
    }));
}

} // namespace laburnumspar::soak
