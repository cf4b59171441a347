#include "drumlanding/entry/members.h"

#include <algorithm>
#include <set>

namespace drumlanding::entry {
namespace {

/// Maximum number of other entries that an entry exchanges documents with.
constexpr std::size_t MaxEntryPeers = 8;
/// A peer that is not in the list is removed after this long without a report.
constexpr base::seconds RemoveAfter{15};

} // namespace

bool Member::isUsable(base::Instant now) const {
  return InSubset && Incarnation != 0 && !Vm.IsLeaving && !Report.leaving() &&
         now - ReportedAt <= SuspectAfter;
}

Members::Members(std::string self, std::size_t subsetSize)
    : Self(std::move(self)), SubsetSize(subsetSize) {}

std::vector<std::string> Members::applyList(base::Instant now,
                                            const std::vector<ListedVm> &vms,
                                            std::string_view place) {
  std::set<std::string, std::less<>> listed;
  for (const ListedVm &vm : vms) {
    if (vm.Name == Self)
      continue;
    listed.insert(vm.Name);
    const auto [it, isNew] = All.try_emplace(vm.Name);
    Member &member = it->second;
    if (isNew) {
      member.NameHash = base::hash64(vm.Name);
      // Spread the first syncs, so that a place that becomes reachable again
      // does not get requests from all entries at once.
      member.NextSyncAt =
          now + base::milliseconds(
                    base::mix64(member.NameHash, base::hash64(Self)) % 300);
    }
    member.Vm = vm;
  }
  std::vector<std::string> removed;
  // The list lags and can be empty after the platform restarts, so a peer that
  // still reports is kept.
  for (const auto &[name, member] : All)
    if (!listed.contains(name) && now - member.ReportedAt > RemoveAfter)
      removed.push_back(name);
  for (const std::string &name : removed)
    All.erase(name);
  chooseSubset(place);
  return removed;
}

void Members::chooseSubset(std::string_view place) {
  Subset.clear();
  ByService.clear();
  std::map<std::string, std::vector<Member *>, std::less<>> groups;
  for (auto &[name, member] : All) {
    member.InSubset = false;
    groups[member.isAgent() ? member.Vm.Service : ""].push_back(&member);
  }
  const std::uint64_t self = base::hash64(Self);
  for (auto &[service, members] : groups) {
    // Sort by own place first, then by rendezvous hash: every server is in
    // about the same number of subsets, and a membership change affects few
    // subsets.
    std::sort(members.begin(), members.end(),
              [&](const Member *a, const Member *b) {
                const bool nearA = a->Vm.Place == place;
                const bool nearB = b->Vm.Place == place;
                if (nearA != nearB)
                  return nearA;
                return base::mix64(self, a->NameHash) >
                       base::mix64(self, b->NameHash);
              });
    const std::size_t maxMembers = service.empty() ? MaxEntryPeers : SubsetSize;
    members.resize(std::min(members.size(), maxMembers));
    for (Member *member : members) {
      member->InSubset = true;
      Subset.push_back(member);
    }
    if (!service.empty())
      ByService[service] = members;
  }
}

void Members::updateDistances(const bundle::Bundle &bundle,
                              std::string_view place) {
  for (auto &[name, member] : All)
    member.DistanceMs = bundle.oneWayMs(place, member.Vm.Place);
}

Member *Members::find(std::string_view name) {
  const auto it = All.find(name);
  return it == All.end() ? nullptr : &it->second;
}

const Member *Members::find(std::string_view name) const {
  const auto it = All.find(name);
  return it == All.end() ? nullptr : &it->second;
}

const std::vector<Member *> &
Members::ofService(std::string_view service) const {
  static const std::vector<Member *> none;
  const auto it = ByService.find(service);
  return it == ByService.end() ? none : it->second;
}

} // namespace drumlanding::entry
