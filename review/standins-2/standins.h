/// Stand-ins for the scripts of the second review: the platform's store,
/// backend servers and clients, and the programs under test as processes of
/// their own. Plain blocking sockets, one thread per connection.
///
///   Recorder record("record.txt");
///   Store store;
///   store.put("op/config", configText);
///   Gateway gateway(store.address(), directory);
///   gateway.start();
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace drumlanding::review {

using Milliseconds = std::chrono::milliseconds;

/// Exit codes of a script.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Writes what was sent, answered and run to a file, with the time in seconds
/// since the start.
class Recorder {
public:
  explicit Recorder(const std::string &path);
  void write(const std::string &line);

private:
  std::mutex Lock;
  std::ofstream File;
  std::chrono::steady_clock::time_point StartedAt;
};

/// Ends the script with CouldNotRun.
[[noreturn]] void giveUp(const std::string &why);

void sleepFor(Milliseconds time);

/// Returns a free TCP port on the loopback interface.
int freePort();

/// A connected socket with a read buffer. Reads end with false at the end of
/// the connection, at an error and at the time limit.
class Channel {
public:
  explicit Channel(int descriptor) : Descriptor(descriptor) {}
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;
  ~Channel() { close(); }

  /// Connects to a port on the loopback interface; null on failure.
  static std::unique_ptr<Channel> connect(int port);

  bool write(std::string_view bytes);
  /// Reads a line and removes its end.
  bool readLine(std::string &line);
  bool readBytes(std::size_t size, std::string &bytes);
  /// Limits the time of each read.
  void setReadTimeout(Milliseconds time);
  /// Returns whether the peer has closed the channel.
  bool isClosedByPeer() const;
  void close();
  /// Closes the channel so that the peer gets a reset.
  void reset();

private:
  bool fill();

  int Descriptor;
  std::string Buffer;
};

/// A request or a response. Header names are kept as sent.
struct Message {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  /// Returns a header's value, or an empty text. Ignores case.
  std::string header(std::string_view name) const;
  /// Requests: the method, and the path with its query.
  std::string method() const;
  std::string target() const;
  /// Responses: the status.
  int status() const;
};

bool readHead(Channel &channel, Message &message);
/// Reads a message with Content-Length or without a body.
bool readMessage(Channel &channel, Message &message);
/// Reads the next chunk of a body with chunked transfer coding; empty at the
/// end of the body.
bool readChunk(Channel &channel, std::string &chunk);

std::string
makeResponse(int status,
             const std::vector<std::pair<std::string, std::string>> &headers,
             std::string_view body);

/// Accepts connections on a loopback port and handles each on a thread.
/// `address` is any loopback address.
class Listener {
public:
  using Handler = std::function<void(Channel &)>;
  explicit Listener(Handler handler, const std::string &address = "127.0.0.1");
  int port() const { return Port; }

private:
  int Port = 0;
};

/// The platform's store: items, ranges, watches, leases and conditional writes.
class Store {
public:
  Store();
  std::string address() const;
  /// Writes an item as the operator or a server does.
  void put(const std::string &key, const std::string &value);

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
  };
  struct Change {
    std::uint64_t Revision = 0;
    std::string Key;
    std::string Value;
  };

  void serve(Channel &channel);
  std::string answer(const Message &request, int &status);
  std::string watch(const std::string &prefix, std::uint64_t since,
                    Milliseconds wait);

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Change> History;
  std::uint64_t Revision = 1;
  std::unique_ptr<Listener> Server;
};

/// A program of the project, started with the command of the deploy file and a
/// settings file in a temporary folder.
class Program {
public:
  Program(std::string path, std::string settingsFile, std::string logFile)
      : Path(std::move(path)), SettingsFile(std::move(settingsFile)),
        LogFile(std::move(logFile)) {}
  Program(const Program &) = delete;
  Program &operator=(const Program &) = delete;
  ~Program() { stop(); }

  void start();
  void signal(int number) const;
  /// Returns how the process ended by itself; empty while it runs.
  std::string endedBy();
  /// Returns the largest resident size so far, in KiB; 0 if it has ended.
  long peakMemory() const;
  /// Kills the process.
  void stop();

private:
  std::string Path;
  std::string SettingsFile;
  std::string LogFile;
  pid_t Process = 0;
};

/// A gateway with the settings template of the deploy file.
class Gateway {
public:
  /// `sidecarPort` is 0 when there are no sidecars.
  Gateway(const std::string &storeAddress, const std::string &folder,
          int sidecarPort = 0);
  /// Starts the process and waits until it is ready.
  void start();
  Program &process() { return *Process; }
  int port() const { return Front; }
  std::string controlAddress() const;

private:
  bool isReady() const;

  int Front;
  int Ready;
  int Control;
  std::unique_ptr<Program> Process;
};

/// A sidecar with the settings template of the deploy file, on the machine of
/// its engine.
std::unique_ptr<Program> makeSidecar(const std::string &folder, int udpPort,
                                     const std::string &engineIp,
                                     int enginePort, const std::string &service,
                                     const std::string &seed);

/// The entry of a server in the store.
std::string makeServerEntry(const std::string &service, int port, int slots,
                            const std::string &state = "ready",
                            const std::string &ip = "127.0.0.1");

/// Reads a file as a whole.
std::string readFile(const std::string &path);

/// Replaces `{{NAME}}` by the values.
std::string fillTemplate(std::string text,
                         const std::map<std::string, std::string> &values);

/// Returns whether the disruption is on: the variable TROUBLE is not 0.
bool isTroubleOn();

} // namespace drumlanding::review
