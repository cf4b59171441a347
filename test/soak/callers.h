/// Callers: send requests of every kind over keep-alive connections, and check
/// the responses against the documented promises.
#pragma once

#include "config-writer.h"
#include "gateway-pool.h"
#include "journal.h"

#include "drumlanding/http/connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace drumlanding::soak {

struct CallerCounts {
  int Sent = 0;
  int Completed = 0;
  int Refused = 0;
  int Failed = 0;
  int Truncated = 0;
};

/// A request and what its caller received of the response.
struct RequestRecord {
  std::string Attempt;
  std::string Path;
  std::string RequestBody;
  std::string Key;
  int KeySerial = 0;
  bool IsStream = false;
  Gateway *Target = nullptr;
  int InstanceNumber = 0;
  base::Instant SentAt{};
  base::Instant EndedAt{};
  /// 0 if the connection closed before a response head arrived.
  int Status = 0;
  http::ResponseHead Head;
  std::string Body;
  bool IsComplete = false;
  /// True if no complete response arrived within the route's timeout and some
  /// slack.
  bool IsTimedOut = false;
};

class Callers {
public:
  Callers(asio::io_context &io, Journal &journal, const ConfigWriter &configs,
          const GatewayPool &gateways, std::uint64_t seed)
      : Io(io), Log(journal), Configs(configs), Gateways(gateways),
        Random(seed) {}

  void start(int callers);
  /// Sends a request that ends each server that gets it, several times, with a
  /// new attempt id each and mostly to another gateway.
  asio::awaitable<void> repeatDeadlyRequest();
  /// Makes each caller stop after its current request.
  void stop() { IsStopping = true; }
  const CallerCounts &counts() const { return Counts; }
  int active() const { return ActiveCallers; }

private:
  asio::awaitable<void> callLoop();
  RequestRecord newRecord();
  RequestRecord nextRequest();
  asio::awaitable<void>
  sendRequest(RequestRecord &record,
              std::shared_ptr<http::Connection> &keepAlive);
  asio::awaitable<void> readResponse(RequestRecord &record,
                                     http::Connection &connection);
  void checkResponse(const RequestRecord &record);
  void checkSuccess(const RequestRecord &record);
  void checkStream(const RequestRecord &record);
  void checkKeys(const RequestRecord &record);
  void checkOutcome(const RequestRecord &record);
  void countOutcome(const RequestRecord &record);

  asio::io_context &Io;
  Journal &Log;
  const ConfigWriter &Configs;
  const GatewayPool &Gateways;
  base::Random Random;
  CallerCounts Counts;
  bool IsStopping = false;
  int ActiveCallers = 0;
  std::uint64_t NextAttempt = 0;
  int DeadlyRequests = 0;
};

} // namespace drumlanding::soak
