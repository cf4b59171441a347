#include "drumlanding/gateway/report-schedule.h"

namespace drumlanding::gateway {

std::vector<ServerInstance>
ReportSchedule::takeDue(base::Instant now, base::Duration listAge,
                        std::span<const ServerInstance> engines) {
  std::erase_if(AskedAt, [&](const auto &entry) {
    return now - entry.second >= RequestInterval;
  });
  std::vector<ServerInstance> due;
  if (listAge < MaxListAge)
    return due;
  for (const ServerInstance &engine : engines)
    if (AskedAt.try_emplace(engine.Id, now).second)
      due.push_back(engine);
  return due;
}

} // namespace drumlanding::gateway
