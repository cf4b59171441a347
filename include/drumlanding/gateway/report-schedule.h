/// Report schedule: decides which engines to ask for their reports while the
/// server list is out of date. An engine that leaves then cannot announce it
/// through the store.
///
///   ReportSchedule schedule;
///   for (const ServerInstance &engine :
///        schedule.takeDue(now, listAge, enginesInUse))
///     requestReport(engine);
#pragma once

#include "drumlanding/gateway/directory.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace drumlanding::gateway {

class ReportSchedule {
public:
  /// The list is confirmed twice a second while the store is available. Engines
  /// are asked when a confirmation is overdue by half of that time.
  static constexpr base::milliseconds MaxListAge{750};
  /// Interval between the requests to one engine.
  static constexpr base::milliseconds RequestInterval{200};

  /// Returns the engines to ask now, and records that they are asked.
  std::vector<ServerInstance> takeDue(base::Instant now, base::Duration listAge,
                                      std::span<const ServerInstance> engines);

private:
  std::map<std::string, base::Instant, std::less<>> AskedAt;
};

} // namespace drumlanding::gateway
