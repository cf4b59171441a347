#include "drumlanding/gateway/ledger.h"

#include <algorithm>

namespace drumlanding::gateway {
namespace {

/// A gateway that is silent for so long (three of its reports) has no say.
constexpr base::milliseconds PeerSilence{1'800};
/// Tokens that a generation makes within the time that placement looks ahead:
/// four seconds at 8 ms a token.
constexpr std::uint32_t HorizonTokens = 500;
/// A generation that has outrun its estimate goes on for this part of what it
/// has made: estimates are right at the median and widely spread.
constexpr double OutrunPart = 0.5;

void addMemory(EngineLoad &load, const LedgerRun &run) {
  const std::uint32_t used = run.PromptTokens + run.MadeTokens;
  load.UsedTokens += used;
  load.ForecastTokens += used + expectedRemaining(run);
}

void addCopy(EngineLoad &load, const LedgerRun &run) {
  addMemory(load, run);
  ++load.IncomingCopies;
}

void addRun(EngineLoad &load, const LedgerRun &run) {
  addMemory(load, run);
  ++load.Running;
  if (!run.HasBegun)
    load.UnreadTokens += run.PromptTokens;
}

} // namespace

std::uint32_t expectedRemaining(const LedgerRun &run) {
  const auto outrun = static_cast<std::uint32_t>(run.MadeTokens * OutrunPart);
  const std::uint32_t left = run.ExpectedTokens > run.MadeTokens
                                 ? run.ExpectedTokens - run.MadeTokens
                                 : outrun;
  const std::uint32_t most =
      run.MostTokens > run.MadeTokens ? run.MostTokens - run.MadeTokens : 0;
  return std::min({left, most, HorizonTokens});
}

void Ledger::begin(const LedgerRun &run) {
  Runs[run.Id] = run;
  changed();
}

void Ledger::progress(RunId id, std::uint32_t madeTokens) {
  const auto it = Runs.find(id);
  if (it == Runs.end())
    return;
  it->second.MadeTokens = madeTokens;
  it->second.HasBegun = true;
}

void Ledger::end(RunId id) {
  if (Runs.erase(id) > 0)
    changed();
}

void Ledger::takePeer(base::Instant now, const std::string &peer,
                      std::vector<LedgerRun> runs) {
  Peers[peer] = {now, std::move(runs)};
  changed();
}

void Ledger::takePeerNews(base::Instant now, const std::string &peer,
                          const std::vector<LedgerRun> &changed,
                          const std::vector<RunId> &ended) {
  Peer &known = Peers[peer];
  known.HeardAt = now;
  std::erase_if(known.Runs, [&](const LedgerRun &run) {
    const auto isThis = [&](const LedgerRun &r) { return r.Id == run.Id; };
    return std::find(ended.begin(), ended.end(), run.Id) != ended.end() ||
           std::any_of(changed.begin(), changed.end(), isThis);
  });
  known.Runs.insert(known.Runs.end(), changed.begin(), changed.end());
  this->changed();
}

void Ledger::tick(base::Instant now) {
  std::erase_if(Peers, [&](const auto &entry) {
    return now - entry.second.HeardAt > PeerSilence;
  });
}

template <typename Visit> void Ledger::visit(Visit visit) const {
  for (const auto &[id, run] : Runs)
    visit(run);
  for (const auto &[name, peer] : Peers)
    for (const LedgerRun &run : peer.Runs)
      visit(run);
}

std::unordered_map<std::string_view, EngineLoad> Ledger::loads() const {
  std::unordered_map<std::string_view, EngineLoad> loads;
  visit([&](const LedgerRun &run) {
    addRun(loads[run.Server], run);
    if (!run.CopyServer.empty() && run.CopyServer != run.Server)
      addCopy(loads[run.CopyServer], run);
  });
  return loads;
}

std::vector<LedgerRun> Ledger::runsOn(std::string_view server) const {
  std::vector<LedgerRun> runs;
  visit([&](const LedgerRun &run) {
    if (run.Server == server)
      runs.push_back(run);
  });
  return runs;
}

std::vector<LedgerRun> Ledger::ownRuns() const {
  std::vector<LedgerRun> runs;
  for (const auto &[id, run] : Runs)
    runs.push_back(run);
  return runs;
}

} // namespace drumlanding::gateway
