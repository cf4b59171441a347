/// Callers: send requests of every kind on connections that they keep, and
/// check what they are told against the promises.
#pragma once

#include "gateways.h"
#include "journal.h"
#include "operators.h"

#include "drumlanding/http/connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace drumlanding::soak {

struct CallerCounts {
  int Sent = 0;
  int Whole = 0;
  int Refused = 0;
  int Failed = 0;
  int Broken = 0;
};

/// A request and what its caller has seen of the answer.
struct Exchanged {
  std::string Attempt;
  std::string Path;
  std::string Key;
  int KeySerial = 0;
  bool IsStream = false;
  Gateway *Through = nullptr;
  int Life = 0;
  base::Instant SentAt{};
  base::Instant EndedAt{};
  /// 0: the connection closed before a head came.
  int Status = 0;
  http::ResponseHead Head;
  std::string Body;
  bool IsWhole = false;
  /// No final answer within the route's time and some more.
  bool IsLate = false;
};

class Callers {
public:
  Callers(asio::io_context &io, Journal &journal, const Operators &operators,
          const Gateways &gateways, std::uint64_t seed)
      : Io(io), Log(journal), Plans(operators), Fleet(gateways), Random(seed) {}

  void begin(int callers);
  /// Callers end after their current request.
  void stop() { IsOver = true; }
  const CallerCounts &counts() const { return Counts; }
  int open() const { return Open; }

private:
  asio::awaitable<void> callLoop();
  Exchanged nextRequest();
  asio::awaitable<void> exchange(Exchanged &e,
                                 std::shared_ptr<http::Connection> &kept);
  asio::awaitable<void> readAnswer(Exchanged &e, http::Connection &connection);
  void check(const Exchanged &e);
  void checkSuccess(const Exchanged &e);
  void checkStream(const Exchanged &e);
  void checkKeys(const Exchanged &e);
  void checkEnd(const Exchanged &e);
  void count(const Exchanged &e);

  asio::io_context &Io;
  Journal &Log;
  const Operators &Plans;
  const Gateways &Fleet;
  base::Random Random;
  CallerCounts Counts;
  bool IsOver = false;
  int Open = 0;
  std::uint64_t Next = 0;
};

} // namespace drumlanding::soak
