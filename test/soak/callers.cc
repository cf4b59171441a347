#include "callers.h"

#include "drumlanding/daemon/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace drumlanding::soak {
namespace {

using base::milliseconds;
using daemon::sleepFor;

constexpr milliseconds ConnectTimeout{1'000};
/// A complete response may arrive this long after the route's timeout.
constexpr milliseconds ResponseSlack{1'500};
constexpr milliseconds MaxPause{60};
/// A server that has ended is back meanwhile at times.
constexpr milliseconds MaxDeadlyPause{300};
/// A config takes effect on every gateway within this time.
constexpr milliseconds ConfigPropagationTime{2'000};
constexpr int MaxShortStreamEvents = 60;
constexpr int MaxLongStreamEvents = 600;
constexpr int StatusOk = 200;
constexpr int StatusUnauthorised = 401;

bool meansNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

std::string describe(const RequestRecord &record) {
  return fmt::format("{} {} through {} status {}", record.Attempt, record.Path,
                     record.Target->Process->Name, record.Status);
}

} // namespace

void Callers::start(int callers) {
  for (int i = 0; i < callers; ++i)
    asio::co_spawn(Io, callLoop(), asio::detached);
}

asio::awaitable<void> Callers::callLoop() {
  ++ActiveCallers;
  std::shared_ptr<http::Connection> keepAlive;
  Gateway *keepAliveGateway = nullptr;
  while (!IsStopping) {
    RequestRecord record = nextRequest();
    if (keepAliveGateway != record.Target || record.IsStream)
      keepAlive.reset();
    keepAliveGateway = record.Target;
    co_await sendRequest(record, keepAlive);
    checkResponse(record);
    co_await sleepFor(milliseconds(
        Random.below(static_cast<std::uint64_t>(MaxPause.count()))));
  }
  --ActiveCallers;
}

RequestRecord Callers::newRecord() {
  RequestRecord record;
  record.Attempt = fmt::format("{:016x}", ++NextAttempt);
  record.RequestBody = "body of " + record.Attempt;
  record.Target = &Gateways.chooseReady(Random);
  record.InstanceNumber = record.Target->Process->InstanceNumber;
  record.Key = ConfigWriter::baseKey();
  return record;
}

asio::awaitable<void> Callers::repeatDeadlyRequest() {
  constexpr int Tries = 12;
  const std::string path =
      fmt::format("{}{}", Journal::DeadlyPath, ++DeadlyRequests);
  for (int i = 0; i < Tries; ++i) {
    RequestRecord record = newRecord();
    record.Path = path;
    record.RequestBody = "deadly";
    std::shared_ptr<http::Connection> connection;
    co_await sendRequest(record, connection);
    checkResponse(record);
    co_await sleepFor(milliseconds(
        Random.below(static_cast<std::uint64_t>(MaxDeadlyPause.count()))));
  }
}

RequestRecord Callers::nextRequest() {
  RequestRecord record = newRecord();
  const double kind = Random.unit();
  if (kind < 0.3) {
    record.IsStream = true;
    const int maxEvents =
        Random.chance(0.3) ? MaxLongStreamEvents : MaxShortStreamEvents;
    record.Path = fmt::format(
        "/stream/{}", 1 + Random.below(static_cast<std::uint64_t>(maxEvents)));
    return record;
  }
  record.Path = kind < 0.6 ? "/once/x" : "/often/x";
  if (kind > 0.8 && Configs.serial() > 2) {
    // The newest key, the previous one, or one that the newest config removed.
    record.KeySerial = Configs.serial() - static_cast<int>(Random.below(3));
    record.Key = ConfigWriter::keyForSerial(record.KeySerial);
  }
  return record;
}

asio::awaitable<void>
Callers::sendRequest(RequestRecord &record,
                     std::shared_ptr<http::Connection> &keepAlive) {
  ++Counts.Sent;
  record.SentAt = Journal::now();
  if (!keepAlive) {
    auto opened =
        co_await http::Connection::open(record.Target->Public, ConnectTimeout);
    if (ok(opened))
      keepAlive = value(opened);
  }
  if (keepAlive) {
    const auto isTimedOut = std::make_shared<bool>(false);
    asio::steady_timer timer(Io);
    timer.expires_after(ConfigWriter::Timeout + ResponseSlack);
    timer.async_wait(
        [isTimedOut, connection = keepAlive](boost::system::error_code ec) {
          if (ec)
            return;
          *isTimedOut = true;
          connection->close();
        });
    const std::shared_ptr<http::Connection> connection = keepAlive;
    co_await readResponse(record, *connection);
    record.IsTimedOut = *isTimedOut;
  }
  record.EndedAt = Journal::now();
  const bool isReusable =
      record.IsComplete && !record.IsStream &&
      !http::equalIgnoringCase(record.Head.header("Connection"), "close");
  if (!isReusable)
    keepAlive.reset();
}

asio::awaitable<void> Callers::readResponse(RequestRecord &record,
                                            http::Connection &connection) {
  http::Request request{"POST", record.Path, {}, record.RequestBody};
  request.Headers = {
      {"Host", std::string(ConfigWriter::Host)},
      {"X-Attempt-Id", record.Attempt},
      {"X-Api-Key", record.Key},
      {"X-Deadline-Ms", std::to_string(ConfigWriter::Timeout.count())}};
  if (record.IsStream)
    request.Headers.push_back({"X-Token-Usage", "200,400"});
  connection.send(request);
  auto head = co_await connection.readHead();
  if (!ok(head))
    co_return;
  record.Head = std::move(value(head));
  record.Status = record.Head.Status;
  for (;;) {
    auto chunk = co_await connection.read();
    if (!ok(chunk))
      co_return;
    if (value(chunk).empty())
      break;
    record.Body += value(chunk);
  }
  record.IsComplete = true;
}

void Callers::checkResponse(const RequestRecord &record) {
  countOutcome(record);
  if (meansNotRun(record.Status))
    Log.recordNotRun(record.Attempt);
  if (record.Status == StatusOk && record.IsStream)
    checkStream(record);
  if (record.Status == StatusOk && record.IsComplete)
    checkSuccess(record);
  checkKeys(record);
  checkOutcome(record);
}

void Callers::countOutcome(const RequestRecord &record) {
  if (record.Status == StatusOk && record.IsComplete)
    ++Counts.Completed;
  else if (meansNotRun(record.Status))
    ++Counts.Refused;
  else if (record.IsComplete)
    ++Counts.Failed;
  else
    ++Counts.Truncated;
}

void Callers::checkSuccess(const RequestRecord &record) {
  if (record.Head.header("X-Attempt-Id") != record.Attempt ||
      record.Head.header("X-Served-Stamp").empty())
    Log.recordViolation("the whole answer to its own request",
                        describe(record));
  if (!record.IsStream &&
      !record.Body.starts_with("done " + record.Attempt + " by i-"))
    Log.recordViolation("the whole answer to its own request",
                        describe(record) + " got " + record.Body);
}

/// Checks that each event arrives once, in order and from one generation, and
/// that a truncated stream does not look complete.
void Callers::checkStream(const RequestRecord &record) {
  const int eventCount =
      std::stoi(record.Path.substr(record.Path.rfind('/') + 1));
  std::string generation;
  int next = 0;
  std::size_t at = 0;
  for (std::size_t end = 0;
       (end = record.Body.find("\n\n", at)) != std::string::npos;
       at = end + 2) {
    const std::string event = record.Body.substr(at, end - at);
    const std::string expectedPrefix =
        fmt::format("id: {}\ndata: {} ", next, record.Attempt);
    if (!event.starts_with(expectedPrefix)) {
      Log.recordViolation(
          "each token once, in order",
          fmt::format("{} event {} is {}", describe(record), next, event));
      return;
    }
    const std::string eventGeneration = event.substr(
        expectedPrefix.size(),
        event.find(' ', expectedPrefix.size()) - expectedPrefix.size());
    if (!generation.empty() && eventGeneration != generation)
      Log.recordViolation("all tokens from one generation", describe(record));
    generation = eventGeneration;
    ++next;
  }
  if (record.IsComplete && (next != eventCount || at != record.Body.size()))
    Log.recordViolation("a stream cut off does not look whole",
                        fmt::format("{} has {} events of {}", describe(record),
                                    next, eventCount));
}

/// Checks that a config takes effect in time, and that a gateway instance never
/// returns to an older config.
void Callers::checkKeys(const RequestRecord &record) {
  if (record.Status == StatusUnauthorised && record.KeySerial == 0)
    Log.recordViolation("a key that every config has is accepted",
                        describe(record));
  if (record.KeySerial == 0 ||
      (record.Status != StatusUnauthorised && record.Status != StatusOk))
    return;
  Gateway &gateway = *record.Target;
  if (gateway.RefusedByInstance != gateway.Process->InstanceNumber)
    gateway.RefusedKey = 0;
  if (gateway.AcceptedByInstance != gateway.Process->InstanceNumber)
    gateway.AcceptedKey = 0;
  const bool isAccepted = record.Status == StatusOk;
  if (isAccepted && record.InstanceNumber == gateway.Process->InstanceNumber &&
      record.KeySerial > gateway.AcceptedKey) {
    gateway.AcceptedByInstance = record.InstanceNumber;
    gateway.AcceptedKey = record.KeySerial;
    gateway.AcceptedAt = record.EndedAt;
  }
  if (isAccepted && record.InstanceNumber == gateway.RefusedByInstance &&
      record.KeySerial <= gateway.RefusedKey &&
      record.SentAt > gateway.RefusedAt)
    Log.recordViolation("a config never goes back",
                        describe(record) + " key " + record.Key);
  // A refused key counts as removed only if the same or a newer key was
  // accepted before; otherwise it may be newer than the gateway's config.
  const bool isRemoved = record.KeySerial <= gateway.AcceptedKey &&
                         record.SentAt > gateway.AcceptedAt;
  const bool isOutdated = record.KeySerial < Configs.serial() - 1;
  if (!isAccepted && isRemoved && record.KeySerial > gateway.RefusedKey &&
      record.InstanceNumber == gateway.Process->InstanceNumber) {
    gateway.RefusedByInstance = record.InstanceNumber;
    gateway.RefusedKey = record.KeySerial;
    gateway.RefusedAt = record.EndedAt;
  }
  const base::Instant writtenAt = Configs.writtenAt();
  const bool isSettled =
      writtenAt != base::Instant::max() &&
      record.SentAt > writtenAt + ConfigPropagationTime &&
      !Log.hasUnplannedFault(writtenAt - Journal::RecoveryTime, record.EndedAt);
  if (isSettled && isAccepted == isOutdated)
    Log.recordViolation("a config is in force within seconds",
                        describe(record) + " key " + record.Key);
}

/// Checks requests that did not succeed. Without unplanned faults no response
/// may be late, and none of a started attempt truncated before the timeout;
/// without planned work as well, requests must not fail at all, except those
/// whose key may have been removed.
void Callers::checkOutcome(const RequestRecord &record) {
  if (record.Status == StatusOk && record.IsComplete)
    return;
  const base::Instant from = record.SentAt - Journal::RecoveryTime;
  if (Log.hasUnplannedFault(from, record.EndedAt))
    return;
  if (record.IsTimedOut)
    Log.recordViolation("every request gets a final answer in time",
                        describe(record));
  else if (!record.IsComplete && Log.hasStarted(record.Attempt) &&
           record.EndedAt - record.SentAt < ConfigWriter::Timeout)
    Log.recordViolation("a planned stop cuts nothing off", describe(record));
  else if (record.KeySerial == 0 &&
           !Log.hasFaultOrPlannedWork(from, record.EndedAt))
    Log.recordViolation("calm requests are served",
                        describe(record) + " " + record.Body);
}

} // namespace drumlanding::soak
