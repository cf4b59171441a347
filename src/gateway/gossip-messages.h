/// Gossip messages: the ledger's runs and the directory's servers as gateways
/// send them to each other.
#pragma once

#include "drumlanding/gateway/config.h"
#include "drumlanding/gateway/directory.h"
#include "drumlanding/gateway/run-table.h"
#include "gateway.pb.h"

#include <vector>

namespace drumlanding::gateway {

wire::Run toWire(const TrackedRun &run);
TrackedRun fromWire(const wire::Run &run);

wire::Server toWire(const ListedServer &server);
/// Leaves out servers whose address cannot be read.
std::vector<ListedServer>
fromWire(const google::protobuf::RepeatedPtrField<wire::Server> &servers);

wire::GoneServer toWire(const RemovedServer &removed);
RemovedServer fromWire(const wire::GoneServer &removed);

wire::ServerList toWire(const ServerList &list, base::milliseconds age);
ServerList fromWire(const wire::ServerList &list);

/// Reads what the process beside an engine says; the notice's address may be
/// missing, then the id is empty.
ServerNotice fromWire(const wire::EngineNotice &notice);

} // namespace drumlanding::gateway
