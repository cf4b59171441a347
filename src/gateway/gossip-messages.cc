#include "gossip-messages.h"

namespace drumlanding::gateway {

using base::milliseconds;

wire::Run toWire(const LedgerRun &run) {
  wire::Run out;
  out.set_id(run.Id);
  out.set_server(run.Server);
  out.set_prompt_tokens(run.PromptTokens);
  out.set_expected_tokens(run.ExpectedTokens);
  out.set_most_tokens(run.MostTokens);
  out.set_made_tokens(run.MadeTokens);
  out.set_has_begun(run.HasBegun);
  out.set_copy_server(run.CopyServer);
  return out;
}

LedgerRun fromWire(const wire::Run &run) {
  LedgerRun out;
  out.Id = run.id();
  out.Server = run.server();
  out.PromptTokens = run.prompt_tokens();
  out.ExpectedTokens = run.expected_tokens();
  out.MostTokens = run.most_tokens();
  out.MadeTokens = run.made_tokens();
  out.HasBegun = run.has_begun();
  out.CopyServer = run.copy_server();
  return out;
}

wire::ServerList toWire(const std::vector<ListedServer> &servers,
                        milliseconds age) {
  wire::ServerList list;
  list.set_age_ms(static_cast<std::uint64_t>(age.count()));
  for (const ListedServer &s : servers) {
    wire::Server &out = *list.add_servers();
    out.set_id(s.Id);
    out.set_service(s.Service);
    out.set_address(base::toString(s.Address));
    out.set_zone(s.Zone);
    out.set_slots(static_cast<std::uint32_t>(s.Slots));
    out.set_is_leaving(s.State == ServerState::Leaving);
    out.set_cold_left_ms(static_cast<std::uint32_t>(s.ColdLeft.count()));
  }
  return list;
}

std::vector<ListedServer> fromWire(const wire::ServerList &list) {
  std::vector<ListedServer> servers;
  for (const wire::Server &s : list.servers()) {
    const auto address = base::parseEndpoint("server", s.address());
    if (!ok(address))
      continue;
    servers.push_back(
        {s.id(), s.service(), value(address), s.zone(),
         static_cast<int>(s.slots()),
         s.is_leaving() ? ServerState::Leaving : ServerState::Ready,
         milliseconds(s.cold_left_ms())});
  }
  return servers;
}

ServerNotice fromWire(const wire::EngineNotice &notice) {
  ServerNotice out;
  const auto address = base::parseEndpoint("engine", notice.address());
  if (!ok(address))
    return out;
  out.Seen.Id = notice.server();
  out.Seen.Service = notice.service();
  out.Seen.Address = value(address);
  out.Seen.Zone = notice.zone();
  out.IsLeaving = notice.is_leaving();
  out.LeavesIn = milliseconds(notice.leaves_in_ms());
  return out;
}

} // namespace drumlanding::gateway
