#pragma once

#include "options.h"
#include "report.h"

namespace laburnumspar::tools {

/// Runs the scenario and checks its results. Throws UsageError, SettingsError or TransportError.
LoadReport runLoad(const LoadOptions &options);

} // namespace laburnumspar::tools
