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

/// How often the engine is asked: an engine's notice can be as short as 1.5 s,
/// of which a copy of one generation takes a quarter.
constexpr milliseconds PollInterval{50};
constexpr milliseconds ConnectTimeout{500};
/// An engine on the same VM answers a report within milliseconds: one that says
/// nothing for so long hangs, or its connection is dead.
constexpr milliseconds ResponseTimeout{1'000};
/// Pause before an engine that does not answer is asked again.
constexpr milliseconds ReconnectDelay{250};
/// A notice is repeated this often, since datagrams get lost.
constexpr milliseconds NoticeRepeatInterval{150};
/// How often gateways are told that the engine is there, and asked for the
/// addresses of all.
constexpr milliseconds ContactInterval{1'000};
/// The same while an engine is new, until everybody must have heard of it.
constexpr milliseconds InitialContactInterval{200};
constexpr milliseconds InitialContactPeriod{3'000};
/// An engine that does not say who it is, is asked again after so many reports.
constexpr int ReportsPerHealthCheck = 5;
/// Most gateways that are told so each time, in turn.
constexpr std::size_t MaxContacts = 8;
constexpr int Fine = 200;

} // namespace

Sidecar::Sidecar(asio::io_context &io, SidecarSettings settings,
                 gateway::ProtocolCodec dialect)
    : Io(io), Settings(std::move(settings)), Codec(std::move(dialect)),
      Log(Settings.Name),
      Gateways(Clock.now().Steady, {Settings.Name, Settings.Listen,
                                    base::secureRandom64(), Settings.Seeds}) {}

base::Result<std::unique_ptr<Sidecar>>
Sidecar::start(asio::io_context &io, SidecarSettings settings,
               gateway::ProtocolCodec dialect) {
  std::unique_ptr<Sidecar> sidecar(
      new Sidecar(io, std::move(settings), std::move(dialect)));
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
    EngineId.clear();
    LastReport = {};
    co_await sleepFor(ReconnectDelay);
  }
}

/// Sends a request on a kept connection and reads the whole answer.
asio::awaitable<base::Result<http::Response>>
Sidecar::sendRequest(http::Connection &connection, http::Request request) {
  request.Headers.push_back({"Host", base::toString(Settings.Engine)});
  asio::steady_timer limit(Io, ResponseTimeout);
  limit.async_wait([weak = connection.weak_from_this()](error_code ec) {
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
  }
}

/// Asks for reports on one connection as long as it holds: a restarted engine
/// breaks it.
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
      identifyEngine(Codec.DecodeHealth(value(health)));
    }
    const auto answer =
        co_await sendRequest(*connection, Codec.EncodeReportRequest());
    if (!ok(answer))
      co_return;
    const auto report = Codec.DecodeReport(value(answer));
    if (ok(report))
      applyReport(value(report));
    co_await sleepFor(PollInterval);
  }
}

void Sidecar::identifyEngine(const std::string &id) {
  if (id.empty())
    return;
  EngineId = id;
  IdentifiedAt = Clock.now().Steady;
  Log.write("engine-met", {{"server", id}});
  sendNotice(liveGateways());
}

void Sidecar::applyReport(const gateway::ServerReport &report) {
  const bool isNew = report.IsLeaving && !LastReport.IsLeaving;
  LastReport = report;
  if (isNew)
    Log.write(
        "engine-leaving",
        {{"leaves_in_ms", report.LeavesIn.value_or(milliseconds(0)).count()}});
  if (!report.IsLeaving)
    return;
  const base::Instant now = Clock.now().Steady;
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

std::string Sidecar::notice() const {
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

void Sidecar::sendNotice(const std::vector<base::Endpoint> &to) {
  const std::string bytes = notice();
  for (const base::Endpoint &gateway : to)
    Socket->send(gateway, bytes);
}

void Sidecar::receive(std::string_view bytes,
                      const gateway::DatagramSocket::Sender &from) {
  wire::Gossip message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      message.has_notice())
    return;
  Gateways.recordMessage(Clock.now().Steady, message);
  // Without an answer from the engine there is nothing to tell.
  if (message.asks_notice() && !EngineId.empty())
    Socket->reply(from, notice());
}

/// Asks the gateways in turn, so that each is asked seldom.
asio::awaitable<void> Sidecar::maintainContact() {
  for (;;) {
    const std::vector<base::Endpoint> due =
        Gateways.sendTargets(Clock.now().Steady);
    std::vector<base::Endpoint> to;
    for (std::size_t i = 0; i < std::min(due.size(), MaxContacts); ++i)
      to.push_back(due[NextContact++ % due.size()]);
    // Without an answer from the engine there is nothing to tell.
    if (!EngineId.empty())
      sendNotice(to);
    const bool isNew = Clock.now().Steady - IdentifiedAt < InitialContactPeriod;
    co_await sleepFor(isNew ? InitialContactInterval : ContactInterval);
  }
}

} // namespace drumlanding::sidecar
