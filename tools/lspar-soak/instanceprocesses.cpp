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

constexpr Milliseconds GraceTime{6000};
/// Time after a disturbance within which an instance may still act on old knowledge.
constexpr Milliseconds ContactTime{3000};

} // namespace

Instances::Instances(std::string program, std::string directory, Layout layout, Promises &promises)
    : m_program(std::move(program))
    , m_directory(std::move(directory))
    , m_layout(layout)
    , m_promises(promises)
{
}

Instances::~Instances()
{
    for (auto &process : m_processes) {
        if (process.pid > 0) {
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, nullptr, 0);
        }
    }
}

void Instances::add()
{
    m_processes.emplace_back();
}

std::string Instances::pathOf(unsigned n, const std::string &suffix) const
{
    return m_directory + "/instance" + std::to_string(n) + suffix;
}

void Instances::writeSettings(unsigned n) const
{
    std::ofstream out(pathOf(n, ".toml"));
    out << "[self]\nnode_name = \"instance-" << n << "\"\nip = \"" << m_layout.callers(n).ip << "\"\nzone = \""
        << Layout::zone(n) << "\"\nbootstrap = " << (m_processes[n].starts == 0 ? "true" : "false")
        << "\n[self.limits]\ncpu_share = 0.5\ncpus = 1\n[network]\nseeds = [\"" << toString(m_layout.peers(0))
        << "\", \"" << toString(m_layout.peers(1)) << "\"]\n[network.listen]\nfront = \""
        << toString(m_layout.callers(n)) << "\"\nready = \"" << toString(m_layout.readiness(n)) << "\"\ncontrol = \""
        << toString(m_layout.peers(n)) << "\"\ndirectory = \"" << toString(m_layout.addresses(n))
        << "\"\n[network.zones]\neast = \"r\"\nwest = \"r\"\n[platform]\nheartbeat_s = 0.5\n[platform.platform]\naddr "
           "= \""
        << toString(m_layout.storeProxy(n)) << "\"\n[terms.bounds]\ngrace_s = 6\nretry_slack = 60\n";
}

void Instances::start(unsigned n)
{
    auto &process = m_processes.at(n);
    writeSettings(n);
    const auto settings = pathOf(n, ".toml");
    const auto log = pathOf(n, ".log");
    const pid_t pid = ::fork();
    if (pid < 0) {
        throw TransportError("cannot start a process");
    }
    if (pid == 0) {
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        // Descriptors of this program would keep its listeners open.
        ::close_range(3, ~0U, 0);
        ::execl(m_program.c_str(), m_program.c_str(), "serve", "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
    process.pid = pid;
    ++process.starts;
    process.paused = false;
    process.stopping.reset();
    process.disturbed = Clock::now();
}

void Instances::signal(unsigned n, int number)
{
    if (m_processes.at(n).pid > 0) {
        ::kill(m_processes[n].pid, number);
    }
}

void Instances::terminate(unsigned n)
{
    signal(n, SIGTERM);
    m_processes[n].stopping = Clock::now();
}

void Instances::kill(unsigned n)
{
    signal(n, SIGKILL);
    auto &process = m_processes[n];
    if (process.pid > 0) {
        ::waitpid(process.pid, nullptr, 0);
    }
    process.pid = 0;
    process.broken = process.disturbed = Clock::now();
}

void Instances::pause(unsigned n)
{
    signal(n, SIGSTOP);
    m_processes[n].paused = true;
    m_processes[n].broken = Clock::now();
}

void Instances::resume(unsigned n)
{
    signal(n, SIGCONT);
    auto &process = m_processes[n];
    process.paused = false;
    process.broken = process.disturbed = Clock::now();
}

void Instances::reload(unsigned n)
{
    writeSettings(n);
    signal(n, SIGHUP);
}

void Instances::disturb(unsigned n)
{
    m_processes.at(n).disturbed = Clock::now();
}

void Instances::check()
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
            if (!process.stopping) {
                m_promises.broken("a process ended by itself: " + incarnation(n));
            } else if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
                m_promises.broken("a planned stop did not end with 0: " + incarnation(n));
            }
            process.disturbed = now;
        } else if (process.stopping && !process.paused
                   && now - std::max(*process.stopping, process.broken) > GraceTime) {
            m_promises.broken("a planned stop outlasted the grace time: " + incarnation(n));
            kill(n);
        }
    }
}

bool Instances::isRunning(unsigned n) const
{
    return m_processes.at(n).pid > 0;
}

bool Instances::isStopping(unsigned n) const
{
    return m_processes.at(n).stopping.has_value();
}

bool Instances::isPaused(unsigned n) const
{
    return m_processes.at(n).paused;
}

bool Instances::isCalm(unsigned n) const
{
    const auto &process = m_processes.at(n);
    return process.pid > 0 && !process.paused && !process.stopping && Clock::now() - process.disturbed > ContactTime;
}

bool Instances::wasBroken(unsigned n, TimePoint since) const
{
    const auto &process = m_processes.at(n);
    return process.paused || process.broken >= since;
}

std::string Instances::incarnation(unsigned n) const
{
    return "instance" + std::to_string(n) + "#" + std::to_string(m_processes.at(n).starts);
}

unsigned Instances::running() const
{
    return unsigned(std::count_if(m_processes.begin(), m_processes.end(), [](const Process &it) {
        return it.pid > 0 && !it.paused && !it.stopping;
    }));
}

} // namespace laburnumspar::soak
