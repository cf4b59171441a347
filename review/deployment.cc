#include "deployment.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace drumlanding::review {
namespace {

using std::chrono::milliseconds;

std::string readFile(const std::string &path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns a text value of a role in the deploy file.
std::string roleValue(const std::string &role, const std::string &name) {
  std::istringstream lines(readFile("deploy/system.toml"));
  std::string line;
  bool isInRole = false;
  while (std::getline(lines, line)) {
    if (line.starts_with("["))
      isInRole = line == "[roles." + role + "]";
    if (isInRole && line.starts_with(name + " = \""))
      return line.substr(name.size() + 4, line.rfind('"') - name.size() - 4);
  }
  throw std::runtime_error("deploy/system.toml has no " + name + " for " +
                           role);
}

std::string fill(std::string text,
                 const std::map<std::string, std::string> &fields) {
  for (const auto &[name, value] : fields) {
    const std::string gap = "{{" + name + "}}";
    for (auto at = text.find(gap); at != std::string::npos;
         at = text.find(gap, at))
      text.replace(at, gap.size(), value);
  }
  return text;
}

} // namespace

Program::Program(const std::string &role, const std::string &name,
                 const std::map<std::string, std::string> &fields,
                 const std::string &folder)
    : Command(roleValue(role, "run")),
      SettingsPath(folder + "/" + name + ".settings"),
      LogPath(folder + "/" + name + ".log") {
  std::ofstream(SettingsPath)
      << fill(readFile(roleValue(role, "template")), fields);
  start();
}

Program::~Program() { end(); }

void Program::start() {
  Pid = ::fork();
  if (Pid != 0)
    return;
  // Ends with this process, also if that is killed.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::setenv("DRUMLANDING_NODE_FILE", SettingsPath.c_str(), 1);
  ::execl(Command.c_str(), Command.c_str(), nullptr);
  ::_exit(127);
}

void Program::end() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
  Pid = -1;
}

void Program::restart() {
  end();
  start();
}

void Program::signal(int number) const {
  if (Pid > 0)
    ::kill(Pid, number);
}

bool Program::isRunning() {
  if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = -1;
  return Pid > 0;
}

double Program::residentMb() const {
  std::ifstream status("/proc/" + std::to_string(Pid) + "/status");
  std::string line;
  while (std::getline(status, line))
    if (line.starts_with("VmRSS:"))
      return std::strtod(line.c_str() + 6, nullptr) / 1024;
  return 0;
}

GatewayAddresses makeGatewayAddresses(int number) {
  const std::string ip = loopback(1, number);
  GatewayAddresses gateway;
  gateway.Name = "front-" + std::to_string(number);
  gateway.Zone = "hall-" + std::string(1, static_cast<char>('a' + number % 3));
  gateway.Callers = freeAddress(ip);
  gateway.Ready = freeAddress(ip);
  gateway.Control = freeAddress(ip);
  gateway.Metrics = {ip, 9464};
  return gateway;
}

std::map<std::string, std::string> gatewayFields(const GatewayAddresses &own,
                                                 const std::string &seeds,
                                                 const Address &store,
                                                 int sidecarPort) {
  return {{"node", own.Name},
          {"zone", own.Zone},
          {"ip", own.Callers.Ip},
          {"listen.front", toString(own.Callers)},
          {"listen.ready", toString(own.Ready)},
          {"listen.control", toString(own.Control)},
          {"platform.address", toString(store)},
          {"seeds", seeds},
          {"portRange.0", std::to_string(sidecarPort)},
          {"heartbeatMs", "1200"},
          {"bounds.retryBudgetRatio", "0.2"},
          {"bounds.budgetExtra", "56"},
          {"bounds.budgetWindowS", "10"},
          {"bounds.graceS", "8"},
          {"bounds.drainMs", "2000"},
          {"bounds.configApplyMs", "2000"}};
}

std::string seedsOf(const std::vector<GatewayAddresses> &gateways) {
  std::string seeds;
  for (const GatewayAddresses &gateway : gateways)
    seeds += (seeds.empty() ? "" : ",") + toString(gateway.Control);
  return seeds;
}

bool waitUntilReady(const GatewayAddresses &gateway) {
  constexpr int Tries = 200;
  constexpr milliseconds Pause{50};
  constexpr int TimeoutMs = 1'000;
  for (int i = 0; i < Tries; ++i) {
    CallerConnection connection(gateway.Ready);
    if (connection.isOpen() &&
        connection.send(
            "GET /drumlanding/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
        connection.receive(TimeoutMs).Status == 200)
      return true;
    std::this_thread::sleep_for(Pause);
  }
  std::fprintf(stderr, "%s is not ready\n", gateway.Name.c_str());
  return false;
}

CaseOptions readCaseOptions(int argc, char **argv) {
  CaseOptions options;
  options.Record = argc > 1 ? argv[1] : "record.txt";
  options.Folder = argc > 2 ? argv[2] : "/tmp";
  const char *trouble = std::getenv("TROUBLE");
  options.HasTrouble = !trouble || std::string(trouble) != "0";
  return options;
}

} // namespace drumlanding::review
