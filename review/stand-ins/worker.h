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

  /// Ends without a word: resets all connections and no longer renews the
  /// entry, which the platform removes after three missed renewals.
  void crash();

private:
  bool serve(const Request &request, tcp::socket &socket);
  bool run(const Request &request, tcp::socket &socket);
  bool stream(tcp::socket &socket, const std::string &attemptId);
  void renew();
  std::string entry(int sequence) const;

  WorkerOptions Options;
  Store &Entries;
  RunLog &Runs;
  std::atomic<int> Running{0};
  std::mutex Lock;
  std::condition_variable Stopped;
  bool IsStopping = false;
  std::unique_ptr<WebServer> Server;
  std::thread Renewal;
};

} // namespace drumlanding::review
