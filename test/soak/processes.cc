#include "processes.h"

#include "drumlanding/daemon/sleep.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

extern char **environ;

namespace drumlanding::soak {
namespace {

constexpr base::milliseconds LookEvery{20};
/// An ended program stays down for this long.
constexpr base::milliseconds RestartAfter{300};

/// How our programs end when their settings are wrong.
constexpr int BadSettings = 2;

base::Instant now() { return base::SystemClock().now().Steady; }

} // namespace

Program &Processes::add(std::string name, std::vector<std::string> words,
                        std::string logFile) {
  auto program = std::make_unique<Program>();
  program->Name = std::move(name);
  program->Words = std::move(words);
  program->LogFile = std::move(logFile);
  All.push_back(std::move(program));
  start(*All.back());
  return *All.back();
}

void Processes::start(Program &program) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int Append = O_WRONLY | O_CREAT | O_APPEND;
  posix_spawn_file_actions_addopen(&actions, 1, program.LogFile.c_str(), Append,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // A connection that the soak closes must not live on in what it has started.
  constexpr int FirstOwnFile = 3;
  posix_spawn_file_actions_addclosefrom_np(&actions, FirstOwnFile);
  std::vector<char *> words;
  for (std::string &word : program.Words)
    words.push_back(word.data());
  words.push_back(nullptr);
  if (posix_spawn(&program.Pid, words[0], &actions, nullptr, words.data(),
                  environ) != 0)
    program.Pid = 0;
  posix_spawn_file_actions_destroy(&actions);
  ++program.Life;
  program.StartedAt = now();
  program.IsEndExpected = false;
  program.IsPaused = false;
}

bool Processes::reap(Program &program) {
  int status = 0;
  if (program.Pid == 0 || waitpid(program.Pid, &status, WNOHANG) == 0)
    return false;
  program.Pid = 0;
  const bool isRefusal = program.HasBadSettings && WIFEXITED(status) &&
                         WEXITSTATUS(status) == BadSettings;
  if (!program.IsEndExpected && !isRefusal && OnSurprise)
    OnSurprise(program, status);
  return true;
}

asio::awaitable<void> Processes::keepRunning() {
  while (!IsOver) {
    for (const auto &program : All) {
      if (reap(*program))
        program->StartedAt = now();
      if (program->Pid == 0 && now() - program->StartedAt > RestartAfter)
        start(*program);
    }
    co_await daemon::sleepFor(LookEvery);
  }
}

void Processes::signal(Program &program, int number) {
  if (program.Pid == 0)
    return;
  program.IsEndExpected |= number == SIGTERM || number == SIGKILL;
  if (number == SIGSTOP || number == SIGCONT)
    program.IsPaused = number == SIGSTOP;
  ::kill(program.Pid, number);
}

void Processes::endAll() {
  IsOver = true;
  for (const auto &program : All)
    signal(*program, SIGKILL);
  for (const auto &program : All)
    if (program->Pid != 0)
      waitpid(program->Pid, nullptr, 0);
}

} // namespace drumlanding::soak
