/// Worker: a stand-in of a worker, which keeps its entry in the store: a plain
/// service, or a model worker that streams events and tells its state.
#pragma once

#include "journal.h"
#include "store.h"
#include "web.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace drumlanding::review {

/// The copies of runs' memory at model workers, by handle.
class CopyTable {
public:
  /// Adds a copy and returns its handle.
  std::string add(const std::string &attemptId);
  /// Takes a copy, which serves a single time. Returns false if there is none.
  bool take(const std::string &handle, const std::string &attemptId);

private:
  std::mutex Lock;
  int LastHandle = 0;
  std::map<std::string, std::string> Attempts;
};

struct WorkerOptions {
  std::string Id;
  std::string Service;
  std::string Zone;
  Address At;
  bool IsEngine = false;
  int Slots = 6;
  /// Time that a plain request takes.
  int WorkMs = 60;
  /// Events of a stream, and the time between them.
  int Events = 4;
  int EventGapMs = 20;
  /// Model workers that move runs share a table.
  CopyTable *Copies = nullptr;
  /// Returns whether the answer to a request lacks a length, and finishes with
  /// its channel.
  std::function<bool(const std::string &attemptId)> IsUnframed;
  /// Returns whether the channel of a move is reset before the answer arrives.
  std::function<bool(const std::string &attemptId, bool isLast)> LosesMove;
};

/// A request that a worker ran.
struct Run {
  std::string AttemptId;
  std::string Target;
  std::string Worker;
  std::string Service;
};

/// The runs of all workers.
class RunLog {
public:
  explicit RunLog(Journal &journal) : Log(journal) {}
  void add(const Run &run);
  std::vector<Run> all() const;
  int count(const std::string &attemptId) const;

private:
  Journal &Log;
  mutable std::mutex Lock;
  std::vector<Run> Runs;
};

class Worker {
public:
  Worker(WorkerOptions options, Store &store, RunLog &runs);
  ~Worker();

  /// Says `draining` and serves on.
  void drain();
  const WorkerOptions &options() const { return Options; }

  /// Ends without a word: resets all connections and no longer renews the
  /// entry, which the platform removes after three missed renewals.
  void crash();

private:
  bool serve(const Request &request, tcp::socket &socket);
  bool run(const Request &request, tcp::socket &socket);
  bool stream(const Request &request, tcp::socket &socket,
              const std::string &attemptId);
  bool move(const Request &request, tcp::socket &socket);
  bool report(tcp::socket &socket);
  void renew();
  std::string entry(int sequence) const;

  WorkerOptions Options;
  Store &Entries;
  RunLog &Runs;
  /// A stream that is being made.
  struct Generation {
    int PromptTokens = 0;
    std::atomic<int> Made{0};
    bool IsStopped = false;
    bool HasEnded = false;
  };

  std::atomic<int> Running{0};
  std::atomic<bool> IsDraining{false};
  std::mutex Lock;
  std::condition_variable Stopped;
  bool IsStopping = false;
  /// Guarded by Lock.
  std::map<std::string, std::shared_ptr<Generation>> Generations;
  std::unique_ptr<WebServer> Server;
  std::thread Renewal;
};

} // namespace drumlanding::review
