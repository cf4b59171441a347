/// Membership: the peers of an entry, from the platform's list and from their
/// own reports. The list lags, so recent reports take precedence.
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

/// One peer. Fields that no report has set yet are zero.
struct Member {
  ListedVm Vm;
  std::uint64_t NameHash = 0;
  /// True when this entry exchanges reports with it and routes to it.
  bool InSubset = false;
  std::uint64_t Incarnation = 0;
  wire::Report Report;
  wire::Versions Versions;
  base::Instant ReportedAt{};
  base::Instant NextSyncAt{};
  bool SyncPending = false;
  bool DocumentPending = false;
  /// The last delta received from it did not apply.
  bool NeedsFullDocument = false;
  /// Version of the bundle last pushed to it, in full or as a delta.
  std::uint64_t PushedBundleVersion = 0;
  std::uint32_t SentSinceReport = 0;
  double DistanceMs = 0;

  bool isAgent() const { return Vm.Role == "agent"; }
  /// Returns true when new work may be sent to it.
  bool isUsable(base::Instant now) const;
};

/// A peer without a report for this long gets no new work. Its streams
/// continue, because a stalled link does not mean that the VM has failed.
inline constexpr base::milliseconds SuspectAfter{2'500};

class Members {
public:
  explicit Members(std::string self, std::size_t subsetSize);

  /// Applies the platform's list; returns the names of removed peers.
  std::vector<std::string> applyList(base::Instant now,
                                     const std::vector<ListedVm> &vms,
                                     std::string_view place);
  /// Sets each peer's distance from this entry's place.
  void updateDistances(const bundle::Bundle &bundle, std::string_view place);

  Member *find(std::string_view name);
  const Member *find(std::string_view name) const;
  /// Returns the servers of a service that this entry routes to.
  const std::vector<Member *> &ofService(std::string_view service) const;
  /// Returns all peers that this entry exchanges reports with.
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
