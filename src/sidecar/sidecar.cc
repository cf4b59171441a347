#include "sidecar.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/daemon/sleep.h"
#include "gateway.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace drumlanding::sidecar {
namespace {

using base::milliseconds;
using boost::system::error_code;
using daemon::sleepFor;
namespace wire = gateway::wire;

/// Interval at which the engine's report is requested. An engine may announce
/// that it leaves only 1.5 s ahead, and the copy of one generation takes a
/// quarter of that time.
constexpr milliseconds PollInterval{50};
constexpr milliseconds ConnectTimeout{500};
/// An engine on the same VM sends its report within milliseconds. One that does
/// not respond within this timeout hangs, or its connection is dead.
constexpr milliseconds ResponseTimeout{1'000};
/// Maximum age of the report that a notice relies on. When this process was
/// suspended, the engine may have ended in the meantime, and an answer that has
/// waited in the socket is as old as its request.
constexpr milliseconds MaxReportAge = ResponseTimeout;
/// Delay before reconnecting to an engine that does not respond.
constexpr milliseconds ReconnectDelay{250};
/// Interval at which a leaving notice is repeated, since datagrams get lost.
constexpr milliseconds NoticeRepeatInterval{150};
/// Interval at which gateways are notified that the engine is present; their
/// replies list the addresses of all gateways.
constexpr milliseconds ContactInterval{1'000};
/// The same interval while an engine is new, so that all gateways discover it.
constexpr milliseconds InitialContactInterval{200};
constexpr milliseconds InitialContactPeriod{3'000};
/// Number of reports between health checks of an engine whose id is unknown.
constexpr int ReportsPerHealthCheck = 5;
/// Maximum number of gateways notified per interval, in rotation.
constexpr std::size_t MaxContacts = 8;
/// Maximum size of the body of an engine's response. A report has a few
/// kilobytes.
constexpr std::size_t MaxResponseBytes = 256 << 10;

} // namespace

Sidecar::Sidecar(asio::io_context &io, const base::Clock &clock,
                 SidecarSettings settings, gateway::ProtocolCodec codec)
    : Io(io), Clock(clock), Settings(std::move(settings)),
      Codec(std::move(codec)), Log(Settings.Name),
      Gateways(Clock.now().Steady, {Settings.Name, Settings.Listen,
                                    base::secureRandom64(), Settings.Seeds}) {}

base::Result<std::unique_ptr<Sidecar>>
Sidecar::start(asio::io_context &io, const base::Clock &clock,
               SidecarSettings settings, gateway::ProtocolCodec codec) {
  std::unique_ptr<Sidecar> sidecar(
      new Sidecar(io, clock, std::move(settings), std::move(codec)));
  Sidecar &s = *sidecar;
  auto datagrams = gateway::DatagramSocket::open(io, s.Settings.Listen);
  if (!ok(datagrams))
    return error(datagrams);
  s.Socket = std::move(value(datagrams));
  const auto onDatagram = [&s](std::string_view bytes,
                               const gateway::DatagramSocket::Sender &from) {
    s.receive(bytes, from);
  };
  asio::co_spawn(io, s.Socket->receive(onDatagram), asio::detached);
  asio::co_spawn(io, s.maintainContact(), asio::detached);
  asio::co_spawn(io, s.watchEngine(), asio::detached);
  s.IdentifiedAt = s.Clock.now().Steady;
  s.Log.write("started", {{"engine", base::toString(s.Settings.Engine)}});
  return sidecar;
}

asio::awaitable<void> Sidecar::watchEngine() {
  for (;;) {
    co_await pollUntilDisconnected();
    forgetEngine();
    co_await sleepFor(ReconnectDelay);
  }
}

/// Sends a request on a persistent connection and reads the complete response.
asio::awaitable<base::Result<http::Response>>
Sidecar::sendRequest(http::Connection &connection, http::Request request) {
  request.Headers.push_back({"Host", base::toString(Settings.Engine)});
  asio::steady_timer timeout(Io, ResponseTimeout);
  timeout.async_wait([weak = connection.weak_from_this()](error_code ec) {
    const auto expired = weak.lock();
    if (!ec && expired)
      expired->close();
  });
  connection.send(request);
  auto head = co_await connection.readHead();
  if (!ok(head))
    co_return error(head);
  http::Response response;
  response.Status = value(head).Status;
  response.Headers = std::move(value(head).Headers);
  for (;;) {
    auto chunk = co_await connection.read();
    if (!ok(chunk))
      co_return error(chunk);
    if (value(chunk).empty())
      co_return response;
    response.Body += value(chunk);
    if (response.Body.size() <= MaxResponseBytes)
      continue;
    Log.write("response-too-large",
              {{"engine", base::toString(Settings.Engine)}});
    co_return base::Error{base::ErrorCode::TooLarge, EngineId, "response"};
  }
}

void Sidecar::forgetEngine() {
  EngineId.clear();
  IsEngine = false;
  LastReport = {};
}

/// Requests reports on one connection until it fails, or until a server that
/// has sent none responds otherwise. A restart of the engine closes the
/// connection, so its new id is read on the next one.
asio::awaitable<void> Sidecar::pollUntilDisconnected() {
  auto opened =
      co_await http::Connection::open(Settings.Engine, ConnectTimeout);
  if (!ok(opened))
    co_return;
  const std::shared_ptr<http::Connection> connection = value(opened);
  for (int i = 0;; ++i) {
    if (EngineId.empty() && i % ReportsPerHealthCheck == 0) {
      const auto health =
          co_await sendRequest(*connection, Codec.EncodeHealthRequest());
      if (!ok(health))
        co_return;
      identifyEngine(Codec.DecodeHealth(value(health)).Id);
    }
    const base::Instant requestedAt = Clock.now().Steady;
    const auto response =
        co_await sendRequest(*connection, Codec.EncodeReportRequest());
    if (!ok(response))
      co_return;
    const auto report = Codec.DecodeReport(value(response));
    if (ok(report)) {
      applyReport(value(report), requestedAt);
    } else if (!IsEngine) {
      rejectServer(error(report));
      co_return;
    }
    co_await sleepFor(PollInterval);
  }
}

void Sidecar::identifyEngine(const std::string &id) {
  if (id.empty())
    return;
  EngineId = id;
  IdentifiedAt = Clock.now().Steady;
}

/// Logs that the server at the engine's address has no report, once for each.
void Sidecar::rejectServer(const base::Error &why) {
  if (RejectedId == EngineId)
    return;
  RejectedId = EngineId;
  Log.write("no-report", {{"server", EngineId}, {"why", describe(why)}});
}

bool Sidecar::isEngineCurrent() const {
  return IsEngine && Clock.now().Steady - ReportRequestedAt <= MaxReportAge;
}

void Sidecar::applyReport(const gateway::ServerReport &report,
                          base::Instant requestedAt) {
  const base::Instant now = Clock.now().Steady;
  if (now - requestedAt > MaxReportAge)
    return;
  ReportRequestedAt = requestedAt;
  const bool isNew = report.IsLeaving && !LastReport.IsLeaving;
  LastReport = report;
  if (!IsEngine && !EngineId.empty()) {
    IsEngine = true;
    Log.write("engine-met", {{"server", EngineId}});
    sendNotice(liveGateways());
  }
  if (isNew)
    Log.write(
        "engine-leaving",
        {{"leaves_in_ms", report.LeavesIn.value_or(milliseconds(0)).count()}});
  if (!report.IsLeaving)
    return;
  if (!isNew && now - NotifiedAt < NoticeRepeatInterval)
    return;
  NotifiedAt = now;
  sendNotice(liveGateways());
}

std::vector<base::Endpoint> Sidecar::liveGateways() const {
  std::vector<base::Endpoint> all;
  for (const gateway::Peer &peer : Gateways.live(Clock.now().Steady))
    all.push_back(peer.Address);
  return all.empty() ? Settings.Seeds : all;
}

std::string Sidecar::encodeNotice() const {
  wire::Gossip message;
  message.set_name(Settings.Name);
  message.set_address(base::toString(Settings.Listen));
  wire::EngineNotice &notice = *message.mutable_notice();
  notice.set_address(base::toString(Settings.Engine));
  notice.set_server(EngineId);
  notice.set_service(Settings.Service);
  notice.set_zone(Settings.Zone);
  notice.set_is_leaving(LastReport.IsLeaving);
  notice.set_born_ms(static_cast<std::uint64_t>(LastReport.StartedAt.count()));
  if (LastReport.LeavesIn)
    notice.set_leaves_in_ms(
        static_cast<std::uint64_t>(LastReport.LeavesIn->count()));
  return message.SerializeAsString();
}

void Sidecar::sendNotice(const std::vector<base::Endpoint> &gateways) {
  const std::string bytes = encodeNotice();
  for (const base::Endpoint &gateway : gateways)
    Socket->send(gateway, bytes);
}

void Sidecar::receive(std::string_view bytes,
                      const gateway::DatagramSocket::Sender &from) {
  wire::Gossip message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      message.has_notice())
    return;
  Gateways.recordMessage(Clock.now().Steady, message);
  if (message.asks_notice() && isEngineCurrent())
    Socket->reply(from, encodeNotice());
}

/// Contacts the gateways in rotation, to limit the messages that each gets.
asio::awaitable<void> Sidecar::maintainContact() {
  for (;;) {
    const std::vector<base::Endpoint> due =
        Gateways.sendTargets(Clock.now().Steady);
    std::vector<base::Endpoint> gateways;
    for (std::size_t i = 0; i < std::min(due.size(), MaxContacts); ++i)
      gateways.push_back(due[NextContact++ % due.size()]);
    if (isEngineCurrent())
      sendNotice(gateways);
    const bool isNew = Clock.now().Steady - IdentifiedAt < InitialContactPeriod;
    co_await sleepFor(isNew ? InitialContactInterval : ContactInterval);
  }
}

} // namespace drumlanding::sidecar
