#include "drumlanding/agent/lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace drumlanding::agent {
namespace {

namespace front = boost::msm::front;
namespace mpl = boost::mpl;

template <typename Source, typename Event, typename Target>
using Row = front::Row<Source, Event, Target, front::none, front::none>;

/// Base of both machines. Replaces Boost.MSM's assertion on an event without a
/// transition: `apply` returns false instead.
template <typename Derived>
struct NonAssertingMachine : front::state_machine_def<Derived> {
  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {} // NOLINT
};

namespace generation {

struct Waiting : front::state<> {};
struct Submitted : front::state<> {};
struct Streaming : front::state<> {};
struct Yielding : front::state<> {};
struct Yielded : front::state<> {};
struct Finished : front::state<> {};
struct Failed : front::state<> {};

struct Submit {};
struct Token {};
struct Yield {};
struct Release {};
struct Finish {};
struct Fail {};

struct Definition : NonAssertingMachine<Definition> {
  using initial_state = Waiting; // NOLINT
  // Boost.MSM numbers states in the order of their first appearance here; the
  // numbers must match GenerationState.
  struct transition_table // NOLINT
      : mpl::vector<
            Row<Waiting, Submit, Submitted>, Row<Submitted, Token, Streaming>,
            Row<Streaming, Yield, Yielding>, Row<Yielding, Release, Yielded>,
            Row<Yielded, Submit, Submitted>,
            // The engine preempted it before or after its first token.
            Row<Submitted, Release, Yielded>, Row<Streaming, Release, Yielded>,
            Row<Streaming, Token, Streaming>,
            // Tokens and the end can be in transit when the yield is
            // requested.
            Row<Yielding, Token, Yielding>, Row<Submitted, Finish, Finished>,
            Row<Streaming, Finish, Finished>, Row<Yielding, Finish, Finished>,
            Row<Waiting, Fail, Failed>, Row<Submitted, Fail, Failed>,
            Row<Streaming, Fail, Failed>, Row<Yielding, Fail, Failed>,
            Row<Yielded, Fail, Failed>> {};
};

using Backend = boost::msm::back::state_machine<Definition>;

} // namespace generation

namespace server {

struct Starting : front::state<> {};
struct Serving : front::state<> {};
struct Leaving : front::state<> {};
struct Drained : front::state<> {};

struct Ready {};
struct Leave {};
struct CancelLeave {};
struct Drain {};

struct Definition : NonAssertingMachine<Definition> {
  using initial_state = Starting; // NOLINT
  struct transition_table         // NOLINT
      : mpl::vector<Row<Starting, Ready, Serving>,
                    Row<Starting, Leave, Leaving>, Row<Serving, Leave, Leaving>,
                    Row<Leaving, Drain, Drained>,
                    // A later bundle no longer marks the server as draining.
                    Row<Leaving, CancelLeave, Serving>,
                    Row<Drained, CancelLeave, Serving>> {};
};

using Backend = boost::msm::back::state_machine<Definition>;

} // namespace server

template <typename Machine, typename Event>
bool process(Machine &machine, const Event &event) {
  return machine.process_event(event) == boost::msm::back::HANDLED_TRUE;
}

} // namespace

struct GenerationLifecycle::Machine {
  generation::Backend Backend;
  GenerationState State = GenerationState::Waiting;
};

GenerationLifecycle::GenerationLifecycle() : Impl(std::make_unique<Machine>()) {
  Impl->Backend.start();
}
GenerationLifecycle::~GenerationLifecycle() = default;
GenerationLifecycle::GenerationLifecycle(GenerationLifecycle &&) noexcept =
    default;
GenerationLifecycle &
GenerationLifecycle::operator=(GenerationLifecycle &&) noexcept = default;

bool GenerationLifecycle::apply(GenerationEvent event) {
  using namespace generation;
  bool handled = false;
  switch (event) {
  case GenerationEvent::Submit:
    handled = process(Impl->Backend, Submit());
    break;
  case GenerationEvent::Token:
    handled = process(Impl->Backend, Token());
    break;
  case GenerationEvent::Yield:
    handled = process(Impl->Backend, Yield());
    break;
  case GenerationEvent::Release:
    handled = process(Impl->Backend, Release());
    break;
  case GenerationEvent::Finish:
    handled = process(Impl->Backend, Finish());
    break;
  case GenerationEvent::Fail:
    handled = process(Impl->Backend, Fail());
    break;
  }
  Impl->State = static_cast<GenerationState>(Impl->Backend.current_state()[0]);
  return handled;
}

GenerationState GenerationLifecycle::state() const { return Impl->State; }

bool GenerationLifecycle::isOver() const {
  return Impl->State == GenerationState::Finished ||
         Impl->State == GenerationState::Failed;
}

struct ServerLifecycle::Machine {
  server::Backend Backend;
};

ServerLifecycle::ServerLifecycle() : Impl(std::make_unique<Machine>()) {
  Impl->Backend.start();
}
ServerLifecycle::~ServerLifecycle() = default;

bool ServerLifecycle::apply(ServerEvent event) {
  using namespace server;
  switch (event) {
  case ServerEvent::Ready:
    return process(Impl->Backend, Ready());
  case ServerEvent::Leave:
    return process(Impl->Backend, Leave());
  case ServerEvent::CancelLeave:
    return process(Impl->Backend, CancelLeave());
  case ServerEvent::Drain:
    return process(Impl->Backend, Drain());
  }
  return false;
}

ServerState ServerLifecycle::state() const {
  return static_cast<ServerState>(Impl->Backend.current_state()[0]);
}

std::string_view toString(GenerationState s) {
  switch (s) {
  case GenerationState::Waiting:
    return "waiting";
  case GenerationState::Submitted:
    return "submitted";
  case GenerationState::Streaming:
    return "streaming";
  case GenerationState::Yielding:
    return "yielding";
  case GenerationState::Yielded:
    return "yielded";
  case GenerationState::Finished:
    return "finished";
  case GenerationState::Failed:
    return "failed";
  }
  return "unknown";
}

std::string_view toString(ServerState s) {
  switch (s) {
  case ServerState::Starting:
    return "starting";
  case ServerState::Serving:
    return "serving";
  case ServerState::Leaving:
    return "leaving";
  case ServerState::Drained:
    return "drained";
  }
  return "unknown";
}

} // namespace drumlanding::agent
