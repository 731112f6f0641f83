#include "detail/evidencewindow.h"

#include <algorithm>
#include <vector>

namespace laburnumspar::detail {

namespace {

/// Few enough for the median to follow a change of load quickly, enough for it to be stable.
constexpr std::size_t MedianSamples = 32;

bool hasRunTime(EvidenceKind kind)
{
    return kind == EvidenceKind::Success || kind == EvidenceKind::Overdue || kind == EvidenceKind::Timeout;
}

} // namespace

bool EvidenceWindow::add(const Sample &sample)
{
    if (m_overdue > 0 && sample.attempt != 0) {
        const auto it = std::find_if(m_samples.rbegin(), m_samples.rend(), [&](const Sample &earlier) {
            return earlier.attempt == sample.attempt && earlier.kind == EvidenceKind::Overdue;
        });
        if (it != m_samples.rend()) {
            // Keep the time of the first report, since which the attempt has been evidence.
            it->runTime = sample.runTime;
            it->kind = sample.kind;
            m_overdue -= sample.kind == EvidenceKind::Overdue ? 0 : 1;
            return false;
        }
    }
    m_samples.push_back(sample);
    m_overdue += sample.kind == EvidenceKind::Overdue ? 1 : 0;
    if (m_samples.size() > Capacity) {
        m_overdue -= m_samples.front().kind == EvidenceKind::Overdue ? 1 : 0;
        m_samples.pop_front();
    }
    return true;
}

void EvidenceWindow::discardBefore(TimePoint at)
{
    while (!m_samples.empty() && m_samples.front().at < at) {
        m_overdue -= m_samples.front().kind == EvidenceKind::Overdue ? 1 : 0;
        m_samples.pop_front();
    }
}

void EvidenceWindow::discardIf(const std::function<bool(const Sample &)> &predicate)
{
    std::erase_if(m_samples, predicate);
    m_overdue = static_cast<std::size_t>(std::count_if(
        m_samples.begin(), m_samples.end(), [](const Sample &sample) { return sample.kind == EvidenceKind::Overdue; }));
}

void EvidenceWindow::clear()
{
    m_samples.clear();
    m_overdue = 0;
}

Microseconds EvidenceWindow::medianRunTime() const
{
    std::vector<Microseconds> times;
    times.reserve(MedianSamples);
    for (auto it = m_samples.rbegin(); it != m_samples.rend() && times.size() < MedianSamples; ++it) {
        if (hasRunTime(it->kind)) {
            times.push_back(it->runTime);
        }
    }
    if (times.empty()) {
        return Microseconds(0);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

} // namespace laburnumspar::detail
