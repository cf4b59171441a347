#include "gossip-messages.h"

namespace drumlanding::gateway {

using base::milliseconds;

wire::Run toWire(const TrackedRun &run) {
  wire::Run out;
  out.set_id(run.Id);
  out.set_server(run.Server);
  out.set_prompt_tokens(run.PromptTokens);
  out.set_expected_tokens(run.ExpectedTokens);
  out.set_most_tokens(run.MaxTokens);
  out.set_made_tokens(run.GeneratedTokens);
  out.set_has_begun(run.HasFirstToken);
  out.set_copy_server(run.CopyServer);
  return out;
}

TrackedRun fromWire(const wire::Run &run) {
  TrackedRun out;
  out.Id = run.id();
  out.Server = run.server();
  out.PromptTokens = run.prompt_tokens();
  out.ExpectedTokens = run.expected_tokens();
  out.MaxTokens = run.most_tokens();
  out.GeneratedTokens = run.made_tokens();
  out.HasFirstToken = run.has_begun();
  out.CopyServer = run.copy_server();
  return out;
}

wire::Server toWire(const ListedServer &server) {
  wire::Server out;
  out.set_id(server.Id);
  out.set_service(server.Service);
  out.set_address(base::toString(server.Address));
  out.set_zone(server.Zone);
  out.set_slots(static_cast<std::uint32_t>(server.Slots));
  out.set_is_leaving(server.State == ServerState::Leaving);
  out.set_cold_left_ms(
      static_cast<std::uint32_t>(server.ColdRemaining.count()));
  out.set_revision(server.Revision);
  out.set_born_ms(static_cast<std::uint64_t>(server.StartedAt.count()));
  return out;
}

wire::RequestLimit toWire(const LimitReport &report) {
  wire::RequestLimit out;
  out.set_id(report.Server.Id);
  out.set_born_ms(static_cast<std::uint64_t>(report.Server.StartedAt.count()));
  out.set_requests_per_second(report.RequestsPerSecond.value_or(0));
  out.set_age_ms(static_cast<std::uint64_t>(base::toMs(report.Age)));
  out.set_sends(report.Sends);
  return out;
}

LimitReport fromWire(const wire::RequestLimit &limit) {
  LimitReport out;
  out.Server = {limit.id(), milliseconds(limit.born_ms())};
  if (limit.requests_per_second() > 0)
    out.RequestsPerSecond = limit.requests_per_second();
  out.Age = milliseconds(limit.age_ms());
  out.Sends = limit.sends();
  return out;
}

wire::SuspectRequest toWire(const SuspectReport &report) {
  const auto toMs = [](base::Duration d) {
    return static_cast<std::uint64_t>(base::toMs(d));
  };
  wire::SuspectRequest out;
  out.set_fingerprint(toBytes(report.Fingerprint));
  out.set_organisation(report.Organisation);
  out.set_part(report.Part);
  out.set_is_blamed(report.IsBlamed);
  out.set_is_certain(report.IsCertain);
  out.set_is_cleared(report.ClearedAge.has_value());
  out.set_cleared_age_ms(toMs(report.ClearedAge.value_or(base::Duration(0))));
  for (const EndReport &end : report.Ends) {
    wire::ServerEnd &e = *out.add_ends();
    e.set_id(end.Server.Id);
    e.set_born_ms(static_cast<std::uint64_t>(end.Server.StartedAt.count()));
    e.set_occurrence(end.Occurrence);
    e.set_is_silent(end.Kind == EndKind::Silent);
    e.set_age_ms(toMs(end.Age));
    e.set_is_withdrawn(end.IsWithdrawn);
    e.set_is_confirmed(end.IsConfirmed);
  }
  return out;
}

std::optional<SuspectReport> fromWire(const wire::SuspectRequest &suspect) {
  const auto fingerprint = fingerprintFromBytes(suspect.fingerprint());
  if (!fingerprint)
    return std::nullopt;
  SuspectReport out{
      *fingerprint, suspect.organisation(), suspect.part(), {}, {}};
  out.IsBlamed = suspect.is_blamed();
  out.IsCertain = suspect.is_certain();
  if (suspect.is_cleared())
    out.ClearedAge = milliseconds(suspect.cleared_age_ms());
  for (const wire::ServerEnd &end : suspect.ends())
    out.Ends.push_back({{end.id(), milliseconds(end.born_ms())},
                        end.occurrence(),
                        end.is_silent() ? EndKind::Silent : EndKind::Closed,
                        milliseconds(end.age_ms()),
                        end.is_withdrawn(),
                        end.is_confirmed()});
  return out;
}

wire::GoneServer toWire(const RemovedServer &removed) {
  wire::GoneServer out;
  out.set_id(removed.Id);
  out.set_revision(removed.Revision);
  return out;
}

wire::ServerList toWire(const ServerList &list, milliseconds age) {
  wire::ServerList out;
  out.set_age_ms(static_cast<std::uint64_t>(age.count()));
  out.set_revision(list.Revision);
  for (const ListedServer &server : list.Servers)
    *out.add_servers() = toWire(server);
  for (const RemovedServer &removed : list.Removed)
    *out.add_gone() = toWire(removed);
  return out;
}

RemovedServer fromWire(const wire::GoneServer &removed) {
  return {removed.id(), removed.revision()};
}

ServerList fromWire(const wire::ServerList &list) {
  ServerList out{list.revision(), fromWire(list.servers()), {}};
  for (const wire::GoneServer &removed : list.gone())
    out.Removed.push_back(fromWire(removed));
  return out;
}

std::vector<ListedServer>
fromWire(const google::protobuf::RepeatedPtrField<wire::Server> &servers) {
  std::vector<ListedServer> out;
  for (const wire::Server &s : servers) {
    const auto address = base::parseEndpoint("server", s.address());
    if (!ok(address))
      continue;
    out.push_back({s.id(), milliseconds(s.born_ms()), s.service(),
                   value(address), s.zone(), static_cast<int>(s.slots()),
                   s.is_leaving() ? ServerState::Leaving : ServerState::Ready,
                   milliseconds(s.cold_left_ms()), s.revision()});
  }
  return out;
}

ServerNotice fromWire(const wire::EngineNotice &notice) {
  ServerNotice out;
  const auto address = base::parseEndpoint("engine", notice.address());
  if (!ok(address))
    return out;
  out.Entry.Id = notice.server();
  out.Entry.StartedAt = milliseconds(notice.born_ms());
  out.Entry.Service = notice.service();
  out.Entry.Address = value(address);
  out.Entry.Zone = notice.zone();
  out.IsLeaving = notice.is_leaving();
  out.LeavesIn = milliseconds(notice.leaves_in_ms());
  return out;
}

} // namespace drumlanding::gateway
