/// Processes: the real programs that the soak runs, each started by it, ended
/// by it only through its own id, and started again when it has ended.
#pragma once

#include "drumlanding/base/clock.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace drumlanding::soak {

namespace asio = boost::asio;

/// A program, its flags, and the process that runs it now.
struct Program {
  std::string Name;
  std::vector<std::string> Arguments;
  std::string LogFile;
  pid_t Pid = 0;
  /// How often it was started.
  int InstanceNumber = 0;
  base::Instant StartedAt{};
  /// It has been told to end, or killed: its end is no surprise.
  bool IsExitExpected = false;
  bool IsPaused = false;
  /// Its settings are broken for now: it may refuse to start.
  bool HasBadSettings = false;
};

class ProcessSupervisor {
public:
  /// Called when a program ends that nobody told to.
  std::function<void(const Program &, int status)> OnUnexpectedExit;

  Program &add(std::string name, std::vector<std::string> arguments,
               std::string logFile);
  /// Starts what is not running and reaps what has ended, until the end.
  asio::awaitable<void> supervise();
  void signal(Program &program, int signalNumber);
  /// Kills all and waits for them.
  void killAll();

private:
  void start(Program &program);
  bool reap(Program &program);

  std::vector<std::unique_ptr<Program>> Programs;
  bool IsStopping = false;
};

} // namespace drumlanding::soak
