#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace drumlanding::review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t ReadSize = 16 << 10;
constexpr int Backlog = 512;
/// Ports for the programs, below those that the system gives to connections.
constexpr int FirstPort = 20'000;
constexpr int PortCount = 12'000;
/// Distance of the first ports of processes that start one after another.
constexpr int PortStep = 37;
constexpr Milliseconds ReadyTimeout{15'000};
constexpr Milliseconds ReadyPollInterval{50};

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool equalIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

std::string word(const std::string &line, std::size_t index) {
  std::istringstream words(line);
  std::string found;
  for (std::size_t i = 0; i <= index; ++i)
    if (!(words >> found))
      return {};
  return found;
}

std::string encodeBase64(std::string_view bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group <<= 8;
      if (i + k < bytes.size())
        group |= static_cast<unsigned char>(bytes[i + k]);
    }
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k > bytes.size() ? '=' : Digits[group >> (18 - 6 * k) & 63];
  }
  return text;
}

std::string queryValue(const std::string &target, std::string_view name) {
  std::istringstream pairs(target.substr(
      std::min(target.find('?') == std::string::npos ? target.size()
                                                     : target.find('?') + 1,
               target.size())));
  std::string pair;
  while (std::getline(pairs, pair, '&'))
    if (pair.substr(0, pair.find('=')) == name)
      return pair.substr(std::min(pair.find('=') + 1, pair.size()));
  return {};
}

std::string quote(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

std::string itemFields(const std::string &key, const std::string &value,
                       std::uint64_t revision) {
  const std::string rev = std::to_string(revision);
  return "\"tlsKey\":" + quote(key) +
         ",\"value\":" + quote(encodeBase64(value)) + ",\"rev\":" + rev +
         ",\"made\":" + rev + ",\"lease\":0";
}

} // namespace

Recorder::Recorder(const std::string &path)
    : File(path), StartedAt(Clock::now()) {}

void Recorder::write(const std::string &line) {
  const std::chrono::duration<double> time = Clock::now() - StartedAt;
  const std::lock_guard guard(Lock);
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%8.3f  ", time.count());
  File << stamp << line << std::endl;
}

void giveUp(const std::string &why) {
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  std::_Exit(CouldNotRun);
}

void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

int freePort() {
  static std::atomic<int> next{static_cast<int>(::getpid()) * PortStep};
  for (int i = 0; i < PortCount; ++i) {
    const int port = FirstPort + next++ % PortCount;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const int code =
        ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address),
               sizeof address);
    ::close(descriptor);
    if (code == 0)
      return port;
  }
  giveUp("no free port");
}

std::unique_ptr<Channel> Channel::connect(int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address),
                sizeof address) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_unique<Channel>(descriptor);
}

bool Channel::write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n =
        ::send(Descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Channel::fill() {
  char bytes[ReadSize];
  const ssize_t n = ::recv(Descriptor, bytes, sizeof bytes, 0);
  if (n <= 0)
    return false;
  Buffer.append(bytes, static_cast<std::size_t>(n));
  return true;
}

bool Channel::readLine(std::string &line) {
  std::size_t end = Buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!fill())
      return false;
    end = Buffer.find("\r\n");
  }
  line = Buffer.substr(0, end);
  Buffer.erase(0, end + 2);
  return true;
}

bool Channel::readBytes(std::size_t size, std::string &bytes) {
  while (Buffer.size() < size)
    if (!fill())
      return false;
  bytes = Buffer.substr(0, size);
  Buffer.erase(0, size);
  return true;
}

void Channel::setReadTimeout(Milliseconds time) {
  timeval limit{};
  limit.tv_sec = time.count() / 1'000;
  limit.tv_usec = time.count() % 1'000 * 1'000;
  ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

bool Channel::isClosedByPeer() const {
  char byte = 0;
  const ssize_t n = ::recv(Descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void Channel::close() {
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = -1;
}

void Channel::reset() {
  const linger discard{1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  close();
}

std::string Message::header(std::string_view name) const {
  for (const auto &[key, value] : Headers)
    if (equalIgnoringCase(key, name))
      return value;
  return {};
}

std::string Message::method() const { return word(StartLine, 0); }
std::string Message::target() const { return word(StartLine, 1); }
int Message::status() const { return std::atoi(word(StartLine, 1).c_str()); }

bool readHead(Channel &channel, Message &message) {
  message = Message();
  if (!channel.readLine(message.StartLine))
    return false;
  std::string line;
  while (channel.readLine(line)) {
    if (line.empty())
      return true;
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      return false;
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.Headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  return false;
}

bool readMessage(Channel &channel, Message &message) {
  if (!readHead(channel, message))
    return false;
  const std::string length = message.header("Content-Length");
  return length.empty() ||
         channel.readBytes(std::strtoull(length.c_str(), nullptr, 10),
                           message.Body);
}

bool readChunk(Channel &channel, std::string &chunk) {
  std::string line;
  if (!channel.readLine(line))
    return false;
  const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
  return channel.readBytes(size, chunk) && channel.readLine(line);
}

std::string
makeResponse(int status,
             const std::vector<std::pair<std::string, std::string>> &headers,
             std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto &[name, value] : headers)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + std::string(body);
}

Listener::Listener(Handler handler, const std::string &ip) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  address.sin_addr.s_addr = ::inet_addr(ip.c_str());
  socklen_t size = sizeof address;
  if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
      ::listen(descriptor, Backlog) != 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address),
                    &size) != 0)
    giveUp("cannot listen");
  Port = ntohs(address.sin_port);
  std::thread([descriptor, handler = std::move(handler)] {
    for (;;) {
      const int accepted =
          ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        continue;
      const int on = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([accepted, handler] {
        Channel channel(accepted);
        handler(channel);
      }).detach();
    }
  }).detach();
}

Store::Store()
    : Server(std::make_unique<Listener>(
          [this](Channel &channel) { serve(channel); })) {}

std::string Store::address() const {
  return "127.0.0.1:" + std::to_string(Server->port());
}

void Store::put(const std::string &key, const std::string &value) {
  const std::lock_guard guard(Lock);
  ++Revision;
  Items[key] = {value, Revision};
  History.push_back({Revision, key, value});
  Changed.notify_all();
}

void Store::serve(Channel &channel) {
  Message request;
  while (readMessage(channel, request)) {
    int status = 200;
    const std::string body = answer(request, status);
    if (!channel.write(makeResponse(
            status, {{"Content-Type", "application/json"}}, body)) ||
        equalIgnoringCase(request.header("Connection"), "close"))
      return;
  }
}

std::string Store::answer(const Message &request, int &status) {
  const std::string target = request.target();
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/drumlanding/kv-watch")
    return watch(
        queryValue(target, "pathPrefix"),
        std::strtoull(queryValue(target, "sinceRev").c_str(), nullptr, 10),
        Milliseconds(std::atoi(queryValue(target, "waitMs").c_str())));
  const std::lock_guard guard(Lock);
  const std::string at = std::to_string(Revision);
  if (path == "/drumlanding/kv-key") {
    const std::string key = queryValue(target, "tlsKey");
    const auto it = Items.find(key);
    if (it != Items.end())
      return "{" + itemFields(key, it->second.Value, it->second.Revision) +
             ",\"at\":" + at + "}";
    status = 404;
    return "{}";
  }
  if (path == "/drumlanding/kv-range") {
    const std::string prefix = queryValue(target, "pathPrefix");
    std::string list;
    for (const auto &[key, item] : Items)
      if (key.starts_with(prefix))
        list += (list.empty() ? "{" : ",{") +
                itemFields(key, item.Value, item.Revision) + "}";
    return "{\"items\":[" + list + "],\"more\":false,\"at\":" + at + "}";
  }
  if (path == "/drumlanding/kv-lease")
    return "{\"lease\":1,\"ttl_ms\":600000}";
  if (path == "/drumlanding/kv-txn")
    return "{\"rev\":" + std::to_string(++Revision) + "}";
  status = 404;
  return "{}";
}

std::string Store::watch(const std::string &prefix, std::uint64_t since,
                         Milliseconds wait) {
  const auto until = Clock::now() + wait;
  std::unique_lock guard(Lock);
  std::string list;
  for (;;) {
    for (const Change &change : History)
      if (change.Revision > since && change.Key.starts_with(prefix))
        list += (list.empty() ? "{" : ",{") +
                itemFields(change.Key, change.Value, change.Revision) + "}";
    if (!list.empty() ||
        Changed.wait_until(guard, until) == std::cv_status::timeout)
      break;
  }
  return "{\"events\":[" + list + "],\"at\":" + std::to_string(Revision) + "}";
}

void Program::start() {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  std::string variable = "DRUMLANDING_NODE_FILE=" + SettingsFile;
  char *arguments[] = {Path.data(), nullptr};
  char *environment[] = {variable.data(), nullptr};
  if (posix_spawn(&Process, Path.c_str(), &actions, nullptr, arguments,
                  environment) != 0)
    giveUp("cannot start " + Path);
  posix_spawn_file_actions_destroy(&actions);
}

void Program::signal(int number) const {
  if (Process > 0)
    ::kill(Process, number);
}

std::string Program::endedBy() {
  int status = 0;
  if (Process <= 0 || ::waitpid(Process, &status, WNOHANG) != Process)
    return {};
  Process = 0;
  if (WIFSIGNALED(status))
    return "signal " + std::to_string(WTERMSIG(status));
  return "exit code " + std::to_string(WEXITSTATUS(status));
}

long Program::peakMemory() const {
  std::ifstream status("/proc/" + std::to_string(Process) + "/status");
  std::string line;
  const std::string name = "VmHWM:";
  while (Process > 0 && std::getline(status, line))
    if (line.starts_with(name))
      return std::atol(line.c_str() + name.size());
  return 0;
}

void Program::stop() {
  if (Process <= 0)
    return;
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
  Process = 0;
}

Gateway::Gateway(const std::string &storeAddress, const std::string &folder,
                 int sidecarPort)
    : Front(freePort()), Ready(freePort()), Control(freePort()) {
  const std::string host = "127.0.0.1:";
  const std::string settings =
      fillTemplate(readFile("deploy/gateway.settings"),
                   {{"node", "front-1"},
                    {"zone", "zone-a"},
                    {"ip", "127.0.0.1"},
                    {"listen.front", host + std::to_string(Front)},
                    {"listen.ready", host + std::to_string(Ready)},
                    {"listen.control", controlAddress()},
                    {"platform.address", storeAddress},
                    {"seeds", controlAddress()},
                    {"portRange.0", std::to_string(sidecarPort)},
                    {"bounds.retryBudgetRatio", "0.2"},
                    {"bounds.budgetExtra", "54"},
                    {"bounds.budgetWindowS", "10"},
                    {"bounds.graceS", "8"},
                    {"bounds.drainMs", "2000"},
                    {"heartbeatMs", "1200"},
                    {"bounds.configApplyMs", "2000"}});
  // The template names a fixed port for the metrics, which may be in use.
  const std::string metrics = ":9464";
  std::string text = settings;
  if (const auto at = text.find(metrics); at != std::string::npos)
    text.replace(at, metrics.size(), ":" + std::to_string(freePort()));
  const std::string file = folder + "/gateway.settings";
  std::ofstream(file) << text;
  Process = std::make_unique<Program>("target/drumlanding-gateway", file,
                                      folder + "/gateway.log");
}

std::string Gateway::controlAddress() const {
  return "127.0.0.1:" + std::to_string(Control);
}

bool Gateway::isReady() const {
  const auto channel = Channel::connect(Ready);
  Message response;
  return channel &&
         channel->write("GET /drumlanding/readyz HTTP/1.1\r\nHost: ready\r\n"
                        "Connection: close\r\n\r\n") &&
         readMessage(*channel, response) && response.status() == 200;
}

void Gateway::start() {
  Process->start();
  const auto until = Clock::now() + ReadyTimeout;
  while (!isReady()) {
    if (Clock::now() > until)
      giveUp("the gateway does not become ready");
    sleepFor(ReadyPollInterval);
  }
}

std::unique_ptr<Program> makeSidecar(const std::string &folder, int udpPort,
                                     const std::string &engineIp,
                                     int enginePort, const std::string &service,
                                     const std::string &seed) {
  const std::string name = "side-" + std::to_string(enginePort);
  const std::string file = folder + "/" + name + ".settings";
  std::ofstream(file) << fillTemplate(
      readFile("deploy/sidecar.settings"),
      {{"node", name},
       {"zone", "zone-a"},
       {"ip", engineIp},
       {"portRange.0", std::to_string(udpPort)},
       {"app", engineIp + ":" + std::to_string(enginePort)},
       {"seeds", seed},
       {"backend", service}});
  return std::make_unique<Program>("target/drumlanding-sidecar", file,
                                   folder + "/" + name + ".log");
}

std::string makeServerEntry(const std::string &service, int port, int slots,
                            const std::string &state, const std::string &ip) {
  return "{\"backend\":" + quote(service) +
         ",\"address\":" + quote(ip + ":" + std::to_string(port)) +
         ",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" +
         std::to_string(slots) + ",\"state\":" + quote(state) +
         ",\"coldLeftMs\":0,\"seq\":1}";
}

std::string readFile(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    giveUp("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string fillTemplate(std::string text,
                         const std::map<std::string, std::string> &values) {
  for (const auto &[name, value] : values) {
    const std::string gap = "{{" + name + "}}";
    for (auto at = text.find(gap); at != std::string::npos;
         at = text.find(gap, at + value.size()))
      text.replace(at, gap.size(), value);
  }
  return text;
}

bool isTroubleOn() {
  const char *trouble = std::getenv("TROUBLE");
  return !trouble || std::string_view(trouble) != "0";
}

} // namespace drumlanding::review
