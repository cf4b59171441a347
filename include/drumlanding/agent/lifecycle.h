/// Lifecycles of a generation and of a backend server as state machines
/// (Boost.MSM). An event without a transition in the table is rejected.
///
///   GenerationLifecycle lifecycle;
///   lifecycle.apply(GenerationEvent::Submit); // true
///   lifecycle.state();                        // GenerationState::Submitted
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace drumlanding::agent {

enum class GenerationState : std::uint8_t {
  Waiting,   ///< Accepted, not yet sent to the engine: it can be revoked.
  Submitted, ///< Sent to the engine, no token received yet.
  Streaming, ///< Tokens are arriving.
  Yielding,  ///< The engine was asked to release it.
  Yielded,   ///< Off the engine, waiting to be resumed.
  Finished,  ///< The answer is complete.
  Failed,    ///< Ended without a complete answer.
};

enum class GenerationEvent : std::uint8_t {
  Submit,
  Token,
  Yield,
  Release,
  Finish,
  Fail,
};

/// The lifecycle of one generation.
class GenerationLifecycle {
public:
  GenerationLifecycle();
  ~GenerationLifecycle();
  GenerationLifecycle(GenerationLifecycle &&) noexcept;
  GenerationLifecycle &operator=(GenerationLifecycle &&) noexcept;

  /// Applies an event. Returns false and keeps the state if the table has no
  /// transition for it.
  bool apply(GenerationEvent event);
  GenerationState state() const;
  bool isOver() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

enum class ServerState : std::uint8_t {
  Starting, ///< Waiting for a bundle and for its backend server.
  Serving,
  Leaving, ///< Accepts no new work; open work continues.
  Drained, ///< Leaving, and no work is open.
};

enum class ServerEvent : std::uint8_t { Ready, Leave, CancelLeave, Drain };

/// The lifecycle of an agent's backend server.
class ServerLifecycle {
public:
  ServerLifecycle();
  ~ServerLifecycle();

  bool apply(ServerEvent event);
  ServerState state() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

std::string_view toString(GenerationState s);
std::string_view toString(ServerState s);

} // namespace drumlanding::agent
