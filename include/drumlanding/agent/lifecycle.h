/// Lifecycles: the legal steps of a generation and of a backend server, as
/// tables (Boost.MSM). A step that is not in the table is refused.
///
///   GenerationLifecycle life;
///   life.apply(GenerationStep::Submit);      // true
///   life.state();                            // GenerationState::Submitted
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace drumlanding::agent {

enum class GenerationState : std::uint8_t {
  Waiting,   ///< Accepted, not yet sent to the engine: it can be revoked.
  Submitted, ///< Sent to the engine, no token yet.
  Streaming, ///< Tokens are arriving.
  Yielding,  ///< The engine was asked to let go of it.
  Yielded,   ///< Off the engine, waiting to come back.
  Finished,  ///< The whole answer is here.
  Failed,    ///< It ended without the whole answer.
};

enum class GenerationEvent : std::uint8_t {
  Submit,
  Token,
  Yield,
  Release,
  Finish,
  Fail,
};

/// One generation's lifecycle.
class GenerationLifecycle {
public:
  GenerationLifecycle();
  ~GenerationLifecycle();
  GenerationLifecycle(GenerationLifecycle &&) noexcept;
  GenerationLifecycle &operator=(GenerationLifecycle &&) noexcept;

  /// Takes a step; false, and no change, when the table does not have it.
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
  Leaving, ///< No new work; what is in flight goes on.
  Drained, ///< Leaving, and nothing is in flight.
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
