#pragma once

#include "gateway/httptext.h"
#include "laburnumspar/upstreampool.h"

namespace laburnumspar::detail {

/// Parses the load that an upstream reports: running requests, waiting requests and slots, separated by commas.
std::optional<ReportedLoad> parseLoad(beast::string_view value);
/// Returns what an upstream asks for with an answer.
UpstreamNotice parseNotice(const UpstreamMessage &message, const ForwardingHeaders &names);
/// Whether the status tells the caller that its request has not run.
bool impliesNotRun(unsigned status);

} // namespace laburnumspar::detail
