#include "sidecar.h"

#include "drumlanding/base/hash.h"
#include "drumlanding/daemon/sleep.h"
#include "gateway.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace drumlanding::sidecar {
namespace {

using asio::ip::udp;
using base::milliseconds;
using boost::system::error_code;
using daemon::sleepFor;
namespace wire = gateway::wire;

/// How often the engine is asked: an engine's notice can be as short as 1.5 s,
/// of which a copy of one generation takes a quarter.
constexpr milliseconds AskEvery{50};
constexpr milliseconds ConnectLimit{500};
/// Pause before an engine that does not answer is asked again.
constexpr milliseconds AskAgain{250};
/// A notice is repeated this often, since datagrams get lost.
constexpr milliseconds RepeatEvery{150};
/// How often gateways are told that the engine is there, and asked for the
/// addresses of all.
constexpr milliseconds ContactEvery{1'000};
/// Most gateways that are told so each time, in turn.
constexpr std::size_t MostContacts = 8;
constexpr std::size_t LargestDatagram = 60'000;
constexpr int Fine = 200;

udp::endpoint toUdp(const base::Endpoint &e) {
  error_code ec;
  return {asio::ip::make_address(e.Address, ec), e.Port};
}

} // namespace

Sidecar::Sidecar(asio::io_context &io, SidecarSettings settings,
                 gateway::Dialect dialect)
    : Io(io), Settings(std::move(settings)), Words(std::move(dialect)),
      Log(Settings.Name), Gateways({Settings.Name, Settings.Listen,
                                    base::secureRandom64(), Settings.Seeds}),
      Socket(io) {}

base::Result<std::unique_ptr<Sidecar>>
Sidecar::start(asio::io_context &io, SidecarSettings settings,
               gateway::Dialect dialect) {
  std::unique_ptr<Sidecar> sidecar(
      new Sidecar(io, std::move(settings), std::move(dialect)));
  Sidecar &s = *sidecar;
  error_code ec;
  const udp::endpoint at = toUdp(s.Settings.Listen);
  s.Socket.open(at.protocol(), ec);
  if (!ec)
    s.Socket.bind(at, ec);
  if (ec)
    return base::Error{base::ErrorCode::Unavailable,
                       base::toString(s.Settings.Listen), ec.message()};
  asio::co_spawn(io, s.listen(), asio::detached);
  asio::co_spawn(io, s.keepContact(), asio::detached);
  asio::co_spawn(io, s.watchEngine(), asio::detached);
  s.Log.write("started", {{"engine", base::toString(s.Settings.Engine)}});
  return sidecar;
}

asio::awaitable<void> Sidecar::watchEngine() {
  for (;;) {
    co_await askUntilBroken();
    HasReport = false;
    co_await sleepFor(AskAgain);
  }
}

/// Asks for reports on one connection as long as it holds.
asio::awaitable<void> Sidecar::askUntilBroken() {
  auto opened = co_await http::Connection::open(Settings.Engine, ConnectLimit);
  if (!ok(opened))
    co_return;
  const std::shared_ptr<http::Connection> connection = value(opened);
  http::Request request = Words.ToReport();
  request.Headers.push_back({"Host", base::toString(Settings.Engine)});
  for (;;) {
    connection->send(request);
    auto head = co_await connection->readHead();
    if (!ok(head) || value(head).Status != Fine)
      co_return;
    http::Response response;
    response.Status = Fine;
    for (;;) {
      auto piece = co_await connection->read();
      if (!ok(piece))
        co_return;
      if (value(piece).empty())
        break;
      response.Body += value(piece);
    }
    const auto report = Words.ReadReport(response);
    if (ok(report))
      take(value(report));
    co_await sleepFor(AskEvery);
  }
}

void Sidecar::take(const gateway::ServerReport &report) {
  const bool isNew = report.IsLeaving && !Last.IsLeaving;
  Last = report;
  HasReport = true;
  if (isNew)
    Log.write(
        "engine-leaving",
        {{"leaves_in_ms", report.LeavesIn.value_or(milliseconds(0)).count()}});
  if (!report.IsLeaving)
    return;
  const base::Instant now = Clock.now().Steady;
  if (!isNew && now - ToldAt < RepeatEvery)
    return;
  ToldAt = now;
  tell(allGateways());
}

std::vector<base::Endpoint> Sidecar::allGateways() const {
  std::vector<base::Endpoint> all;
  for (const gateway::Peer &peer : Gateways.live(Clock.now().Steady))
    all.push_back(peer.Address);
  return all.empty() ? Settings.Seeds : all;
}

void Sidecar::tell(const std::vector<base::Endpoint> &to) {
  wire::Gossip message;
  message.set_name(Settings.Name);
  message.set_address(base::toString(Settings.Listen));
  wire::EngineNotice &notice = *message.mutable_notice();
  notice.set_address(base::toString(Settings.Engine));
  notice.set_service(Settings.Service);
  notice.set_zone(Settings.Zone);
  notice.set_is_leaving(Last.IsLeaving);
  if (Last.LeavesIn)
    notice.set_leaves_in_ms(static_cast<std::uint64_t>(Last.LeavesIn->count()));
  const std::string bytes = message.SerializeAsString();
  for (const base::Endpoint &gateway : to) {
    error_code ec;
    // A full link loses it: it is told again.
    Socket.send_to(asio::buffer(bytes), toUdp(gateway), 0, ec);
  }
}

asio::awaitable<void> Sidecar::listen() {
  std::vector<char> buf(LargestDatagram);
  for (;;) {
    udp::endpoint from;
    error_code ec;
    const std::size_t n = co_await Socket.async_receive_from(
        asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    wire::Gossip message;
    if (!ec && message.ParseFromArray(buf.data(), static_cast<int>(n)) &&
        !message.has_notice())
      Gateways.heard(Clock.now().Steady, message);
  }
}

/// Asks the gateways in turn, so that each is asked seldom.
asio::awaitable<void> Sidecar::keepContact() {
  for (;;) {
    const std::vector<base::Endpoint> due = Gateways.due(Clock.now().Steady);
    std::vector<base::Endpoint> to;
    for (std::size_t i = 0; i < std::min(due.size(), MostContacts); ++i)
      to.push_back(due[NextContact++ % due.size()]);
    // Without an answer from the engine there is nothing to tell.
    if (HasReport)
      tell(to);
    co_await sleepFor(ContactEvery);
  }
}

} // namespace drumlanding::sidecar
