#pragma once

#include "options.h"
#include "report.h"

namespace laburnumspar::tools {

/// Runs the scenario and checks what came of it. Throws SettingsError or TransportError.
LoadReport runLoad(const LoadOptions &options);

} // namespace laburnumspar::tools
