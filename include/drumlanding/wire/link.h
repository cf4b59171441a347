/// Links between our processes: nng request/reply, protobuf, a shared key.
///
///   auto server = Server::listen(endpoint, key, contexts, handler);
///   auto client = Client::dial(endpoint, key);
///   value(client)->call(request, 500ms, [](Result<Reply> r) { ... });
///
/// A message without the right key is dropped without an answer. The handlers
/// run on nng's threads and must only pass their argument on.
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

/// Bytes and messages a link has carried; read for the metrics.
struct LinkCounters {
  std::atomic<std::uint64_t> BytesIn{0};
  std::atomic<std::uint64_t> BytesOut{0};
  std::atomic<std::uint64_t> Rejected{0};
};

/// Sends the reply of one request; calls after the first do nothing. When it
/// is destroyed unused the request stays unanswered.
using Responder = std::function<void(const Reply &)>;
using RequestHandler = std::function<void(Request, Responder)>;
using ReplyHandler = std::function<void(base::Result<Reply>)>;

/// Packs a message with its authentication code. `isReply` sets the direction,
/// so that a request can never pass for a reply.
std::string seal(const ControlKey &key, std::uint64_t nonce, bool isReply,
                 const std::string &payload);

/// What `open` finds in an authentic envelope.
struct OpenedEnvelope {
  std::uint64_t Nonce = 0;
  std::string Payload;
};

/// Checks and unpacks what `seal` made; an error for anything else.
base::Result<OpenedEnvelope> open(const ControlKey &key, bool isReply,
                                  std::string_view bytes);

/// Listens for requests.
class Server {
public:
  static base::Result<std::unique_ptr<Server>>
  listen(const base::Endpoint &endpoint, ControlKey key, int contexts,
         RequestHandler handler);
  ~Server();
  const LinkCounters &counters() const;

  struct State;

private:
  explicit Server(std::shared_ptr<State> s) : S(std::move(s)) {}
  std::shared_ptr<State> S;
};

/// Sends requests to one peer. Connects, and connects again, by itself.
class Client {
public:
  static base::Result<std::unique_ptr<Client>>
  dial(const base::Endpoint &endpoint, ControlKey key,
       std::shared_ptr<LinkCounters> counters);
  ~Client();

  /// Sends `request`; `done` is called exactly once, on an nng thread, with
  /// the reply or with TimedOut. Pending calls fail when the client goes.
  void call(const Request &request, base::milliseconds timeout,
            ReplyHandler done);

  struct State;

private:
  explicit Client(std::unique_ptr<State> s);
  std::unique_ptr<State> S;
};

} // namespace drumlanding::wire
