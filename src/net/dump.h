#pragma once

#include "laburnumspar/dispatcher.h"
#include "laburnumspar/health.h"
#include "laburnumspar/membership.h"
#include "laburnumspar/routing.h"
#include "laburnumspar/settingsstore.h"

#include <boost/json.hpp>

namespace laburnumspar::detail {

/// Convert the tables on which decisions are based to JSON. Points in time are written as milliseconds before `now`.
boost::json::value toJson(const DispatcherDump &dump, TimePoint now);
boost::json::value toJson(const HealthDump &dump, TimePoint now);
boost::json::value toJson(const std::vector<MemberView> &members, TimePoint now);
boost::json::value toJson(const std::vector<SettingsRecord> &records);
boost::json::value toJson(const std::vector<DispatcherLoadRecord> &records, TimePoint now);

} // namespace laburnumspar::detail
