/// Connection table: the connections of all servers of a process, and the
/// memory of the requests on them. When a limit is reached, it closes
/// connections that wait for their clients: first those between two requests,
/// then those that have waited for the first byte or the rest of a request for
/// longest. A client that sends its request at once is served even if a crowd
/// keeps all other connections waiting.
///
///   auto table = std::make_shared<ConnectionTable>(options);
///   ConnectionTable::Entry entry(table, server, close);
///   entry.setPhase(ConnectionTable::Phase::Receiving);
///   entry.setBytes(buffer.capacity());    // may close this or other
///   connections
///
/// Thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>

namespace drumlanding::http {

struct ConnectionTableOptions {
  /// Maximum number of connections of all servers together.
  std::size_t MaxConnections = 8'000;
  /// Maximum memory for requests: what has arrived of them until they have been
  /// answered, without bodies that a BodyBudget covers.
  std::size_t MaxRequestBytes = 8 << 20;
};

/// Returns how many connections a process may accept: half of its descriptors,
/// since each request may need another one.
std::size_t maxConnectionsOfProcess();

class ConnectionTable {
public:
  /// A request up to this size does not count, so that large ones do not
  /// displace the ordinary ones.
  static constexpr std::size_t UncountedBytes = 4 << 10;

  enum class Phase {
    New,       ///< No byte has arrived yet.
    Idle,      ///< Between two requests.
    Receiving, ///< A part of a request has arrived.
    Handling,  ///< The request is complete; never closed here.
  };
  enum class Limit { Connections, RequestBytes };

  friend std::string_view toString(Limit limit) {
    return limit == Limit::Connections ? "connections" : "memory";
  }

  explicit ConnectionTable(ConnectionTableOptions options)
      : Options(options), MaxConnections(options.MaxConnections) {}
  ConnectionTable(const ConnectionTable &) = delete;
  ConnectionTable &operator=(const ConnectionTable &) = delete;

  void setMaxRequestBytes(std::size_t bytes);

  /// Called for each connection that is closed because of a limit while its
  /// request arrives, with the table locked; set before the first entry.
  std::function<void(Limit)> OnRequestClosed;

  /// Identifies the server that a connection belongs to.
  using Owner = const void *;

  /// Closes one connection of this server, or of any if null. Returns false if
  /// none waits for its client.
  bool closeOne(Owner owner);
  /// Makes room for another connection; returns false if there is none.
  bool makeRoom();
  /// Lowers the limit on connections to `fewer` less than there are, but not
  /// below a quarter of what was configured: something else may hold the
  /// descriptors.
  void lowerLimit(std::size_t fewer);

  class Entry {
  public:
    /// `close` gets the phase in which the connection waits. It is called on
    /// any thread, with the table locked.
    Entry(std::shared_ptr<ConnectionTable> table, Owner owner,
          std::function<void(Phase)> close);
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;
    ~Entry();

    void setPhase(Phase phase);
    /// Sets the memory that the request takes.
    void setBytes(std::size_t bytes);

  private:
    friend class ConnectionTable;

    std::shared_ptr<ConnectionTable> Table;
    Owner Server;
    std::function<void(Phase)> Close;
    Phase State = Phase::New;
    /// Position in the order in which connections began to wait; 0 if this one
    /// does not, or is being closed.
    std::uint64_t Rank = 0;
    std::size_t Bytes = 0;
    bool IsClosing = false;
  };

private:
  using Queue = std::map<std::uint64_t, Entry *>;

  Queue *queueOf(Phase phase);
  void enqueue(Entry &entry);
  void dequeue(Entry &entry);
  void setClosing(Entry &entry, bool isClosing);
  void close(Entry &entry, Limit limit);
  Entry *firstOf(Phase phase, Owner owner);
  Entry *longestWaiting(Owner owner);
  bool closeOneLocked(Owner owner, Limit limit);
  void closeLargeRequests();

  std::mutex Lock;
  ConnectionTableOptions Options;
  /// The limit in force, at most that of the options.
  std::size_t MaxConnections;
  std::uint64_t LastRank = 0;
  std::size_t Connections = 0;
  /// What the requests take beyond UncountedBytes each; without those whose
  /// connections are being closed.
  std::size_t RequestBytes = 0;
  std::size_t ClosingConnections = 0;
  /// The connections that wait, by phase and rank.
  std::array<Queue, 3> Queues;
};

} // namespace drumlanding::http
