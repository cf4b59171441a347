#include "drumlanding/wire/link.h"

#include "drumlanding/base/hash.h"

#include <algorithm>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <sodium.h>
#include <vector>

namespace drumlanding::wire {
namespace {

using base::Error;
using base::ErrorCode;
using base::Result;

constexpr std::size_t MacBytes = 16;
constexpr std::size_t MaxMessageBytes = 4 << 20;
constexpr nng_duration MinReconnectMs = 50;
constexpr nng_duration MaxReconnectMs = 1000;

std::string macOf(const ControlKey &key, std::uint64_t nonce, bool isReply,
                  std::string_view payload) {
  crypto_generichash_state state;
  crypto_generichash_init(
      &state, reinterpret_cast<const unsigned char *>(key.Bytes.data()),
      key.Bytes.size(), MacBytes);
  const unsigned char direction = isReply ? 1 : 0;
  crypto_generichash_update(&state, &direction, 1);
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char *>(&nonce), sizeof nonce);
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char *>(payload.data()),
      payload.size());
  std::string mac(MacBytes, '\0');
  crypto_generichash_final(
      &state, reinterpret_cast<unsigned char *>(mac.data()), MacBytes);
  return mac;
}

std::string urlOf(const base::Endpoint &endpoint) {
  return "tcp://" + base::toString(endpoint);
}

Error transportError(const base::Endpoint &endpoint, int code) {
  return {ErrorCode::Unavailable, base::toString(endpoint), nng_strerror(code)};
}

nng_msg *makeMessage(const std::string &bytes) {
  nng_msg *message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0)
    return nullptr;
  nng_msg_append(message, bytes.data(), bytes.size());
  return message;
}

std::string_view bytesOf(nng_msg *message) {
  return {static_cast<const char *>(nng_msg_body(message)),
          nng_msg_len(message)};
}

} // namespace

std::string seal(const ControlKey &key, std::uint64_t nonce, bool isReply,
                 const std::string &payload) {
  Envelope envelope;
  envelope.set_nonce(nonce);
  envelope.set_mac(macOf(key, nonce, isReply, payload));
  envelope.set_payload(payload);
  return envelope.SerializeAsString();
}

Result<OpenedEnvelope> open(const ControlKey &key, bool isReply,
                            std::string_view bytes) {
  Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return base::invalid("envelope", "malformed");
  const std::string mac =
      macOf(key, envelope.nonce(), isReply, envelope.payload());
  if (envelope.mac().size() != MacBytes ||
      sodium_memcmp(mac.data(), envelope.mac().data(), MacBytes) != 0)
    return Error{
        ErrorCode::Forbidden, "envelope",
        "authentication code does not match: wrong key or altered message"};
  return OpenedEnvelope{envelope.nonce(),
                        std::move(*envelope.mutable_payload())};
}

/// Handles one request at a time: receives it, passes it to the handler and
/// sends the reply.
struct RequestSlot {
  nng_ctx Context = NNG_CTX_INITIALIZER;
  nng_aio *Aio = nullptr;
  bool Sending = false;
  Server::State *Owner = nullptr;
};

namespace {

/// The connections of a server on which no authentic message has arrived.
/// Closes the oldest ones when there are too many.
class UnauthenticatedPipes {
public:
  std::size_t MaxPipes = 0;
  LinkCounters *Counters = nullptr;

  void add(nng_pipe pipe) {
    nng_pipe oldest = NNG_PIPE_INITIALIZER;
    {
      const std::lock_guard guard(Lock);
      Pipes.push_back(pipe);
      if (Pipes.size() <= MaxPipes)
        return;
      oldest = Pipes.front();
      Pipes.erase(Pipes.begin());
    }
    ++Counters->Closed;
    nng_pipe_close(oldest);
  }

  void remove(nng_pipe pipe) {
    const std::lock_guard guard(Lock);
    std::erase_if(Pipes, [&](const nng_pipe &other) {
      return nng_pipe_id(other) == nng_pipe_id(pipe);
    });
  }

  static void onEvent(nng_pipe pipe, nng_pipe_ev event, void *self) {
    auto &pipes = *static_cast<UnauthenticatedPipes *>(self);
    if (event == NNG_PIPE_EV_ADD_POST)
      pipes.add(pipe);
    else
      pipes.remove(pipe);
  }

private:
  std::mutex Lock;
  /// In the order in which they were opened.
  std::vector<nng_pipe> Pipes;
};

} // namespace

struct Server::State : std::enable_shared_from_this<Server::State> {
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  ControlKey Key;
  RequestHandler Handler;
  LinkCounters Counters;
  UnauthenticatedPipes Unauthenticated;
  /// Guards Closed and the start of every operation; not held during Handler.
  std::mutex Lock;
  bool Closed = false;
  std::vector<std::unique_ptr<RequestSlot>> Slots;

  static void onAio(void *slot) {
    auto &s = *static_cast<RequestSlot *>(slot);
    s.Owner->onComplete(s);
  }
  void receive(RequestSlot &slot);
  void send(RequestSlot &slot, std::uint64_t nonce, const Reply &reply);
  void onComplete(RequestSlot &slot);
};

namespace {

/// Sends at most one reply. If destroyed without a reply, makes its slot
/// receive the next request.
class ReplyHandle {
public:
  ReplyHandle(std::weak_ptr<Server::State> owner, RequestSlot &slot,
              std::uint64_t nonce)
      : Owner(std::move(owner)), Slot(slot), Nonce(nonce) {}
  ReplyHandle(const ReplyHandle &) = delete;
  ReplyHandle &operator=(const ReplyHandle &) = delete;
  ~ReplyHandle() {
    if (Used.exchange(true))
      return;
    if (auto owner = Owner.lock())
      owner->receive(Slot);
  }
  void send(const Reply &reply) {
    if (Used.exchange(true))
      return;
    if (auto owner = Owner.lock())
      owner->send(Slot, Nonce, reply);
  }

private:
  std::weak_ptr<Server::State> Owner;
  RequestSlot &Slot;
  std::uint64_t Nonce;
  std::atomic<bool> Used{false};
};

} // namespace

void Server::State::receive(RequestSlot &slot) {
  const std::lock_guard guard(Lock);
  if (Closed)
    return;
  slot.Sending = false;
  nng_ctx_recv(slot.Context, slot.Aio);
}

void Server::State::send(RequestSlot &slot, std::uint64_t nonce,
                         const Reply &reply) {
  const std::string bytes = seal(Key, nonce, true, reply.SerializeAsString());
  const std::lock_guard guard(Lock);
  if (Closed)
    return;
  Counters.BytesOut += bytes.size();
  slot.Sending = true;
  nng_aio_set_msg(slot.Aio, makeMessage(bytes));
  nng_ctx_send(slot.Context, slot.Aio);
}

void Server::State::onComplete(RequestSlot &slot) {
  const int code = nng_aio_result(slot.Aio);
  if (slot.Sending) {
    if (code != 0)
      nng_msg_free(nng_aio_get_msg(slot.Aio));
    receive(slot);
    return;
  }
  if (code == NNG_ECLOSED || code == NNG_ECANCELED)
    return;
  if (code != 0) {
    receive(slot);
    return;
  }
  nng_msg *message = nng_aio_get_msg(slot.Aio);
  Counters.BytesIn += nng_msg_len(message);
  Result<OpenedEnvelope> opened = open(Key, false, bytesOf(message));
  if (ok(opened))
    Unauthenticated.remove(nng_msg_get_pipe(message));
  nng_msg_free(message);
  Request request;
  if (!ok(opened) || !request.ParseFromString(value(opened).Payload)) {
    ++Counters.Rejected;
    receive(slot);
    return;
  }
  auto handle = std::make_shared<ReplyHandle>(weak_from_this(), slot,
                                              value(opened).Nonce);
  Handler(std::move(request),
          [handle](const Reply &reply) { handle->send(reply); });
}

Result<std::unique_ptr<Server>> Server::listen(const base::Endpoint &endpoint,
                                               ControlKey key,
                                               const ServerLimits &limits,
                                               RequestHandler handler) {
  auto state = std::make_shared<State>();
  state->Key = std::move(key);
  state->Handler = std::move(handler);
  if (const int code = nng_rep0_open(&state->Socket); code != 0)
    return transportError(endpoint, code);
  nng_socket_set_size(state->Socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
  state->Unauthenticated.MaxPipes = limits.MaxUnauthenticated;
  state->Unauthenticated.Counters = &state->Counters;
  for (const nng_pipe_ev event : {NNG_PIPE_EV_ADD_POST, NNG_PIPE_EV_REM_POST})
    nng_pipe_notify(state->Socket, event, &UnauthenticatedPipes::onEvent,
                    &state->Unauthenticated);
  if (const int code =
          nng_listen(state->Socket, urlOf(endpoint).c_str(), nullptr, 0);
      code != 0) {
    nng_close(state->Socket);
    return transportError(endpoint, code);
  }
  for (int i = 0; i < limits.Contexts; ++i) {
    auto slot = std::make_unique<RequestSlot>();
    slot->Owner = state.get();
    nng_ctx_open(&slot->Context, state->Socket);
    nng_aio_alloc(&slot->Aio, &State::onAio, slot.get());
    state->Slots.push_back(std::move(slot));
  }
  for (auto &slot : state->Slots)
    state->receive(*slot);
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::~Server() {
  {
    const std::lock_guard guard(S->Lock);
    S->Closed = true;
  }
  nng_close(S->Socket);
  for (auto &slot : S->Slots) {
    nng_aio_stop(slot->Aio);
    nng_aio_free(slot->Aio);
  }
}

const LinkCounters &Server::counters() const { return S->Counters; }

/// A pending request; reused for later ones.
struct ClientCall {
  nng_ctx Context = NNG_CTX_INITIALIZER;
  nng_aio *Aio = nullptr;
  bool Sending = false;
  std::uint64_t Nonce = 0;
  base::Instant Deadline;
  ReplyHandler Done;
  Client::State *Owner = nullptr;
};

struct Client::State {
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  ControlKey Key;
  base::Endpoint Peer;
  std::shared_ptr<LinkCounters> Counters;
  base::SystemClock Clock;
  /// Guards Closed, Calls and IdleCalls; not held while a handler runs.
  std::mutex Lock;
  bool Closed = false;
  std::vector<std::unique_ptr<ClientCall>> Calls;
  std::vector<ClientCall *> IdleCalls;

  static void onAio(void *call) {
    auto &c = *static_cast<ClientCall *>(call);
    c.Owner->onComplete(c);
  }
  ClientCall *acquireCall();
  void onComplete(ClientCall &call);
  void finish(ClientCall &call, Result<Reply> result);
};

ClientCall *Client::State::acquireCall() {
  if (!IdleCalls.empty()) {
    ClientCall *call = IdleCalls.back();
    IdleCalls.pop_back();
    return call;
  }
  auto call = std::make_unique<ClientCall>();
  call->Owner = this;
  if (nng_ctx_open(&call->Context, Socket) != 0)
    return nullptr;
  nng_aio_alloc(&call->Aio, &State::onAio, call.get());
  Calls.push_back(std::move(call));
  return Calls.back().get();
}

void Client::State::finish(ClientCall &call, Result<Reply> result) {
  ReplyHandler done = std::move(call.Done);
  call.Done = nullptr;
  {
    const std::lock_guard guard(Lock);
    IdleCalls.push_back(&call);
  }
  done(std::move(result));
}

void Client::State::onComplete(ClientCall &call) {
  const int code = nng_aio_result(call.Aio);
  if (code != 0) {
    if (call.Sending)
      nng_msg_free(nng_aio_get_msg(call.Aio));
    finish(call, Error{ErrorCode::TimedOut, base::toString(Peer),
                       nng_strerror(code)});
    return;
  }
  if (call.Sending) {
    call.Sending = false;
    const auto remainingMs = base::toMs(call.Deadline - Clock.now().Steady);
    nng_aio_set_timeout(call.Aio, static_cast<nng_duration>(
                                      std::max<std::int64_t>(remainingMs, 1)));
    nng_ctx_recv(call.Context, call.Aio);
    return;
  }
  nng_msg *message = nng_aio_get_msg(call.Aio);
  Counters->BytesIn += nng_msg_len(message);
  Result<OpenedEnvelope> opened = open(Key, true, bytesOf(message));
  nng_msg_free(message);
  Reply reply;
  if (!ok(opened) || value(opened).Nonce != call.Nonce ||
      !reply.ParseFromString(value(opened).Payload)) {
    ++Counters->Rejected;
    finish(call, Error{ErrorCode::TimedOut, base::toString(Peer),
                       "reply rejected: wrong key, nonce or content"});
    return;
  }
  finish(call, std::move(reply));
}

Client::Client(std::unique_ptr<State> s) : S(std::move(s)) {}

Result<std::unique_ptr<Client>>
Client::dial(const base::Endpoint &endpoint, ControlKey key,
             std::shared_ptr<LinkCounters> counters) {
  auto state = std::make_unique<State>();
  state->Key = std::move(key);
  state->Peer = endpoint;
  state->Counters = std::move(counters);
  if (const int code = nng_req0_open(&state->Socket); code != 0)
    return transportError(endpoint, code);
  nng_socket_set_size(state->Socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
  nng_socket_set_ms(state->Socket, NNG_OPT_RECONNMINT, MinReconnectMs);
  nng_socket_set_ms(state->Socket, NNG_OPT_RECONNMAXT, MaxReconnectMs);
  // Retries are decided by the cores, so the transport must not resend.
  nng_socket_set_ms(state->Socket, NNG_OPT_REQ_RESENDTIME,
                    NNG_DURATION_INFINITE);
  if (const int code = nng_dial(state->Socket, urlOf(endpoint).c_str(), nullptr,
                                NNG_FLAG_NONBLOCK);
      code != 0) {
    nng_close(state->Socket);
    return transportError(endpoint, code);
  }
  return std::unique_ptr<Client>(new Client(std::move(state)));
}

Client::~Client() {
  {
    const std::lock_guard guard(S->Lock);
    S->Closed = true;
  }
  nng_close(S->Socket);
  for (auto &call : S->Calls) {
    nng_aio_stop(call->Aio);
    nng_aio_free(call->Aio);
  }
}

void Client::call(const Request &request, base::milliseconds timeout,
                  ReplyHandler done) {
  const std::uint64_t nonce = base::secureRandom64();
  const std::string bytes =
      seal(S->Key, nonce, false, request.SerializeAsString());
  std::unique_lock guard(S->Lock);
  ClientCall *call = S->Closed ? nullptr : S->acquireCall();
  if (!call) {
    guard.unlock();
    done(Error{ErrorCode::Unavailable, base::toString(S->Peer), "closed"});
    return;
  }
  call->Nonce = nonce;
  call->Done = std::move(done);
  call->Sending = true;
  call->Deadline = S->Clock.now().Steady + timeout;
  S->Counters->BytesOut += bytes.size();
  nng_aio_set_timeout(call->Aio, static_cast<nng_duration>(timeout.count()));
  nng_aio_set_msg(call->Aio, makeMessage(bytes));
  nng_ctx_send(call->Context, call->Aio);
}

} // namespace drumlanding::wire
