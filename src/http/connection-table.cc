#include "drumlanding/http/connection-table.h"

#include <algorithm>
#include <sys/resource.h>

namespace drumlanding::http {
namespace {

std::size_t countedBytes(std::size_t bytes) {
  return bytes - std::min(bytes, ConnectionTable::UncountedBytes);
}

} // namespace

std::size_t maxConnectionsOfProcess() {
  constexpr std::size_t Most = ConnectionTableOptions().MaxConnections;
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY)
    return Most;
  return std::min<std::size_t>(Most, limit.rlim_cur / 2);
}

void ConnectionTable::setMaxRequestBytes(std::size_t bytes) {
  const std::lock_guard guard(Lock);
  Options.MaxRequestBytes = bytes;
  closeLargeRequests();
}

ConnectionTable::Queue *ConnectionTable::queueOf(Phase phase) {
  return phase == Phase::Handling ? nullptr
                                  : &Queues[static_cast<std::size_t>(phase)];
}

void ConnectionTable::enqueue(Entry &entry) {
  Queue *const queue = queueOf(entry.State);
  if (!queue)
    return;
  entry.Rank = ++LastRank;
  queue->emplace(entry.Rank, &entry);
}

void ConnectionTable::dequeue(Entry &entry) {
  if (Queue *const queue = queueOf(entry.State); queue && entry.Rank != 0)
    queue->erase(entry.Rank);
  entry.Rank = 0;
}

void ConnectionTable::setClosing(Entry &entry, bool isClosing) {
  if (entry.IsClosing == isClosing)
    return;
  entry.IsClosing = isClosing;
  if (isClosing) {
    ++ClosingConnections;
    RequestBytes -= countedBytes(entry.Bytes);
  } else {
    --ClosingConnections;
    RequestBytes += countedBytes(entry.Bytes);
  }
}

void ConnectionTable::close(Entry &entry, Limit limit) {
  dequeue(entry);
  setClosing(entry, true);
  entry.Close(entry.State);
  if (entry.State == Phase::Receiving && OnRequestClosed)
    OnRequestClosed(limit);
}

/// Returns the connection that has been in this phase for longest.
ConnectionTable::Entry *ConnectionTable::firstOf(Phase phase, Owner owner) {
  const Queue &queue = *queueOf(phase);
  const auto it =
      std::find_if(queue.begin(), queue.end(), [owner](const auto &item) {
        return !owner || item.second->Server == owner;
      });
  return it == queue.end() ? nullptr : it->second;
}

ConnectionTable::Entry *ConnectionTable::longestWaiting(Owner owner) {
  if (Entry *const idle = firstOf(Phase::Idle, owner))
    return idle;
  Entry *const fresh = firstOf(Phase::New, owner);
  Entry *const receiving = firstOf(Phase::Receiving, owner);
  if (!fresh || !receiving)
    return fresh ? fresh : receiving;
  return fresh->Rank < receiving->Rank ? fresh : receiving;
}

bool ConnectionTable::closeOneLocked(Owner owner, Limit limit) {
  Entry *const entry = longestWaiting(owner);
  if (entry)
    close(*entry, limit);
  return entry != nullptr;
}

bool ConnectionTable::closeOne(Owner owner) {
  const std::lock_guard guard(Lock);
  return closeOneLocked(owner, Limit::Connections);
}

bool ConnectionTable::makeRoom() {
  const std::lock_guard guard(Lock);
  return Connections - ClosingConnections < MaxConnections ||
         closeOneLocked(nullptr, Limit::Connections);
}

void ConnectionTable::lowerLimit(std::size_t fewer) {
  const std::lock_guard guard(Lock);
  const std::size_t lowered = Connections - std::min(fewer, Connections);
  const std::size_t least = Options.MaxConnections / 4;
  MaxConnections = std::min(MaxConnections, std::max(lowered, least));
}

/// Closes the connections of incomplete requests until the others fit.
void ConnectionTable::closeLargeRequests() {
  const Queue &receiving = *queueOf(Phase::Receiving);
  for (auto it = receiving.begin();
       it != receiving.end() && RequestBytes > Options.MaxRequestBytes;) {
    Entry &entry = *(it++)->second;
    if (countedBytes(entry.Bytes) > 0)
      close(entry, Limit::RequestBytes);
  }
}

ConnectionTable::Entry::Entry(std::shared_ptr<ConnectionTable> table,
                              Owner owner, std::function<void(Phase)> close)
    : Table(std::move(table)), Server(owner), Close(std::move(close)) {
  const std::lock_guard guard(Table->Lock);
  ++Table->Connections;
  Table->enqueue(*this);
}

ConnectionTable::Entry::~Entry() {
  const std::lock_guard guard(Table->Lock);
  Table->dequeue(*this);
  Table->setClosing(*this, false);
  Table->RequestBytes -= countedBytes(Bytes);
  --Table->Connections;
}

void ConnectionTable::Entry::setPhase(Phase phase) {
  const std::lock_guard guard(Table->Lock);
  Table->dequeue(*this);
  State = phase;
  // The request was complete before its connection was closed.
  Table->setClosing(*this, false);
  Table->enqueue(*this);
}

void ConnectionTable::Entry::setBytes(std::size_t bytes) {
  const std::lock_guard guard(Table->Lock);
  if (!IsClosing)
    Table->RequestBytes += countedBytes(bytes) - countedBytes(Bytes);
  Bytes = bytes;
  Table->closeLargeRequests();
}

} // namespace drumlanding::http
