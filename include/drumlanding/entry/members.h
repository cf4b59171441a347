/// Members: the peers an entry knows, from the platform's lagging list and,
/// above all, from their own reports.
///
///   members.applyList(now, vms);
///   for (const Member *m : members.ofService("tutor-llm")) ...
#pragma once

#include "drumlanding/base/clock.h"
#include "drumlanding/entry/core.h"
#include "drumlanding/entry/router.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::entry {

/// One peer. What a report has not said yet is zero.
struct Member {
  ListedVm Vm;
  std::uint64_t NameHash = 0;
  /// This entry reports with it and routes to it.
  bool InSubset = false;
  std::uint64_t Incarnation = 0;
  wire::Report Report;
  wire::Versions Versions;
  base::Instant ReportedAt{};
  base::Instant NextSyncAt{};
  bool SyncPending = false;
  bool DocumentPending = false;
  /// Its last difference did not fit.
  bool NeedsFullDocument = false;
  /// Version of the bundle last pushed to it.
  std::uint64_t PushedBundleVersion = 0;
  std::uint32_t SentSinceReport = 0;
  double DistanceMs = 0;

  bool isAgent() const { return Vm.Role == "agent"; }
  /// True when new work may go there.
  bool isUsable(base::Instant now) const;
};

/// Without a report for this long, a peer gets no new work. Its streams go on:
/// a stalled link is no dead VM.
inline constexpr base::milliseconds SuspectAfter{2'500};

class Members {
public:
  explicit Members(std::string self, std::size_t subsetSize);

  /// Takes the platform's list; returns the names that are gone.
  std::vector<std::string> applyList(base::Instant now,
                                     const std::vector<ListedVm> &vms,
                                     std::string_view place);
  /// Sets the distances from this entry's place.
  void updateDistances(const bundle::Bundle &bundle, std::string_view place);

  Member *find(std::string_view name);
  const Member *find(std::string_view name) const;
  /// The servers of a service that this entry routes to.
  const std::vector<Member *> &ofService(std::string_view service) const;
  /// All peers that this entry exchanges reports with.
  const std::vector<Member *> &subset() const { return Subset; }
  std::size_t size() const { return All.size(); }

private:
  void chooseSubset(std::string_view place);

  std::string Self;
  std::size_t SubsetSize;
  std::map<std::string, Member, std::less<>> All;
  std::map<std::string, std::vector<Member *>, std::less<>> ByService;
  std::vector<Member *> Subset;
};

} // namespace drumlanding::entry
