/// Gossip messages: conversions of runs, servers and notices between the
/// gateway's types and the wire format of gossip.
#pragma once

#include "drumlanding/gateway/config.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/quarantine.h"
#include "drumlanding/gateway/request-limits.h"
#include "drumlanding/gateway/run-table.h"
#include "gateway.pb.h"

#include <vector>

namespace drumlanding::gateway {

wire::Run toWire(const TrackedRun &run);
TrackedRun fromWire(const wire::Run &run);

wire::Server toWire(const ListedServer &server);
/// Skips servers with a malformed address.
std::vector<ListedServer>
fromWire(const google::protobuf::RepeatedPtrField<wire::Server> &servers);

wire::RequestLimit toWire(const LimitReport &report);
wire::SuspectRequest toWire(const SuspectReport &report);
/// Returns none if the fingerprint is malformed.
std::optional<SuspectReport> fromWire(const wire::SuspectRequest &suspect);
LimitReport fromWire(const wire::RequestLimit &limit);
wire::GoneServer toWire(const RemovedServer &removed);
RemovedServer fromWire(const wire::GoneServer &removed);

wire::ServerList toWire(const ServerList &list, base::milliseconds age);
ServerList fromWire(const wire::ServerList &list);

/// Converts a sidecar's notice. The server id stays empty when the address is
/// missing or malformed.
ServerNotice fromWire(const wire::EngineNotice &notice);

} // namespace drumlanding::gateway
