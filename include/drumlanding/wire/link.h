/// Links between the daemons of a deployment: protobuf messages over nng
/// request/reply sockets, authenticated with a shared key.
///
///   auto server = Server::listen(endpoint, key, limits, handler);
///   auto client = Client::dial(endpoint, key);
///   value(client)->call(request, 500ms, [](Result<Reply> r) { ... });
///
/// A request that is not authenticated with the key is dropped without a reply.
/// Handlers run on nng's threads and must not block: they hand their argument
/// to another thread.
#pragma once

#include "control.pb.h"
#include "drumlanding/base/clock.h"
#include "drumlanding/base/result.h"
#include "drumlanding/base/settings.h"

#include <atomic>
#include <functional>
#include <memory>

namespace drumlanding::wire {

/// The shared key of all daemons of a deployment: 32 bytes.
struct ControlKey {
  std::string Bytes;
};

/// Counts of bytes sent and received, of messages rejected and of connections
/// closed, for metrics.
struct LinkCounters {
  std::atomic<std::uint64_t> BytesIn{0};
  std::atomic<std::uint64_t> BytesOut{0};
  std::atomic<std::uint64_t> Rejected{0};
  /// Connections closed before an authentic message had arrived.
  std::atomic<std::uint64_t> Closed{0};
};

struct ServerLimits {
  /// Maximum number of requests that are received or answered at a time.
  int Contexts = 64;
  /// Maximum number of connections on which no authentic message has arrived
  /// yet: the oldest are closed. Each may hold a message of the largest size
  /// that is not complete.
  std::size_t MaxUnauthenticated = 8;
};

/// Sends the reply to one request; calls after the first have no effect. If it
/// is destroyed without a call, the request gets no reply.
using Responder = std::function<void(const Reply &)>;
using RequestHandler = std::function<void(Request, Responder)>;
using ReplyHandler = std::function<void(base::Result<Reply>)>;

/// Packs a message with its authentication code. The code covers the direction
/// (`isReply`), so that a request is never accepted as a reply.
std::string seal(const ControlKey &key, std::uint64_t nonce, bool isReply,
                 const std::string &payload);

/// The content of an authentic envelope.
struct OpenedEnvelope {
  std::uint64_t Nonce = 0;
  std::string Payload;
};

/// Verifies and unpacks the output of `seal`; returns an error for anything
/// else.
base::Result<OpenedEnvelope> open(const ControlKey &key, bool isReply,
                                  std::string_view bytes);

/// Receives requests and sends their replies.
class Server {
public:
  static base::Result<std::unique_ptr<Server>>
  listen(const base::Endpoint &endpoint, ControlKey key,
         const ServerLimits &limits, RequestHandler handler);
  ~Server();
  const LinkCounters &counters() const;

  struct State;

private:
  explicit Server(std::shared_ptr<State> s) : S(std::move(s)) {}
  std::shared_ptr<State> S;
};

/// Sends requests to one peer. Connects in the background and reconnects when
/// the connection is lost.
class Client {
public:
  static base::Result<std::unique_ptr<Client>>
  dial(const base::Endpoint &endpoint, ControlKey key,
       std::shared_ptr<LinkCounters> counters);
  ~Client();

  /// Sends `request`. Calls `done` exactly once: on an nng thread with the
  /// reply or with TimedOut, or on the calling thread with Unavailable if the
  /// request cannot be sent. Pending calls fail when the client is destroyed.
  void call(const Request &request, base::milliseconds timeout,
            ReplyHandler done);

  struct State;

private:
  explicit Client(std::unique_ptr<State> s);
  std::unique_ptr<State> S;
};

} // namespace drumlanding::wire
