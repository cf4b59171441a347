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

/// What both machines share: an event that the table does not have is no
/// error of the library's, `apply` tells the caller.
template <typename Derived>
struct QuietMachine : front::state_machine_def<Derived> {
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
struct LetGo {};
struct Finish {};
struct Fail {};

struct Definition : QuietMachine<Definition> {
  using initial_state = Waiting; // NOLINT
  // The order in which states first appear gives their numbers, which match
  // GenerationState.
  struct transition_table // NOLINT
      : mpl::vector<
            Row<Waiting, Submit, Submitted>, Row<Submitted, Token, Streaming>,
            Row<Streaming, Yield, Yielding>, Row<Yielding, LetGo, Yielded>,
            Row<Yielded, Submit, Submitted>,
            // The engine preempted it before or after a token.
            Row<Submitted, LetGo, Yielded>, Row<Streaming, LetGo, Yielded>,
            Row<Streaming, Token, Streaming>,
            // Tokens and the end can be on their way already.
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
struct Stay {};
struct Drain {};

struct Definition : QuietMachine<Definition> {
  using initial_state = Starting; // NOLINT
  struct transition_table         // NOLINT
      : mpl::vector<Row<Starting, Ready, Serving>,
                    Row<Starting, Leave, Leaving>, Row<Serving, Leave, Leaving>,
                    Row<Leaving, Drain, Drained>,
                    // A later bundle no longer drains it.
                    Row<Leaving, Stay, Serving>, Row<Drained, Stay, Serving>> {
  };
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

GenerationLifecycle::GenerationLifecycle() : M(std::make_unique<Machine>()) {
  M->Backend.start();
}
GenerationLifecycle::~GenerationLifecycle() = default;
GenerationLifecycle::GenerationLifecycle(GenerationLifecycle &&) noexcept =
    default;
GenerationLifecycle &
GenerationLifecycle::operator=(GenerationLifecycle &&) noexcept = default;

bool GenerationLifecycle::apply(GenerationStep step) {
  using namespace generation;
  bool handled = false;
  switch (step) {
  case GenerationStep::Submit:
    handled = process(M->Backend, Submit());
    break;
  case GenerationStep::Token:
    handled = process(M->Backend, Token());
    break;
  case GenerationStep::Yield:
    handled = process(M->Backend, Yield());
    break;
  case GenerationStep::LetGo:
    handled = process(M->Backend, LetGo());
    break;
  case GenerationStep::Finish:
    handled = process(M->Backend, Finish());
    break;
  case GenerationStep::Fail:
    handled = process(M->Backend, Fail());
    break;
  }
  M->State = static_cast<GenerationState>(M->Backend.current_state()[0]);
  return handled;
}

GenerationState GenerationLifecycle::state() const { return M->State; }

bool GenerationLifecycle::isOver() const {
  return M->State == GenerationState::Finished ||
         M->State == GenerationState::Failed;
}

struct ServerLifecycle::Machine {
  server::Backend Backend;
};

ServerLifecycle::ServerLifecycle() : M(std::make_unique<Machine>()) {
  M->Backend.start();
}
ServerLifecycle::~ServerLifecycle() = default;

bool ServerLifecycle::apply(ServerStep step) {
  using namespace server;
  switch (step) {
  case ServerStep::Ready:
    return process(M->Backend, Ready());
  case ServerStep::Leave:
    return process(M->Backend, Leave());
  case ServerStep::Stay:
    return process(M->Backend, Stay());
  case ServerStep::Drain:
    return process(M->Backend, Drain());
  }
  return false;
}

ServerState ServerLifecycle::state() const {
  return static_cast<ServerState>(M->Backend.current_state()[0]);
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
