/// Deployment: starts the project's own programs as separate processes, with
/// the run commands of the deploy file and settings made from its templates.
#pragma once

#include "journal.h"
#include "web.h"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace drumlanding::review {

/// A process of the project.
class Program {
public:
  /// Starts the program of a role of `deploy/system.toml`, in the current
  /// folder. Its log goes to a file in `folder`.
  Program(const std::string &role, const std::string &name,
          const std::map<std::string, std::string> &fields,
          const std::string &folder);
  ~Program();
  Program(const Program &) = delete;
  Program &operator=(const Program &) = delete;

  void signal(int number) const;
  /// Kills the process and starts it again with the same settings.
  void restart();
  /// Returns whether the process still runs.
  bool isRunning();
  /// Returns the resident memory in megabytes; 0 if the process has ended.
  double residentMb() const;
  pid_t id() const { return Pid; }

private:
  void start();
  void end();

  std::string Command;
  std::string SettingsPath;
  std::string LogPath;
  pid_t Pid = -1;
};

/// The addresses of a gateway.
struct GatewayAddresses {
  std::string Name;
  std::string Zone;
  Address Callers;
  Address Ready;
  Address Control;
  Address Metrics;
};

GatewayAddresses makeGatewayAddresses(int number);

/// Returns the fields of a gateway's settings, as the platform gives them.
std::map<std::string, std::string> gatewayFields(const GatewayAddresses &own,
                                                 const std::string &seeds,
                                                 const Address &store,
                                                 int sidecarPort);

/// Returns the control addresses of gateways, separated by commas.
std::string seedsOf(const std::vector<GatewayAddresses> &gateways);

/// Waits until a gateway is ready. Returns false after ten seconds.
bool waitUntilReady(const GatewayAddresses &gateway);

/// The settings of a case, from its command line and environment.
struct CaseOptions {
  /// Where the record is written.
  std::string Record;
  /// A temporary folder.
  std::string Folder;
  /// False if the case runs without its disruption.
  bool HasTrouble = true;
};

CaseOptions readCaseOptions(int argc, char **argv);

} // namespace drumlanding::review
