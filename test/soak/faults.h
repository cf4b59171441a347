/// Faults: what the soak does to the deployment, from a seed: storms of faults
/// that come in series and overlap, planned work alone, and calm between.
#pragma once

#include "gateways.h"
#include "journal.h"
#include "operators.h"
#include "processes.h"
#include "workers.h"

#include "drumlanding/base/hash.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace drumlanding::soak {

/// All that faults can strike.
struct Deployment {
  Processes Programs;
  Gateways Fleet;
  std::vector<Program *> Sidecars;
  std::vector<std::unique_ptr<Worker>> Workers;
  /// The stand-in of the platform's store.
  base::Endpoint Store;
};

class Faults {
public:
  Faults(asio::io_context &io, Journal &journal, Deployment &deployment,
         Operators &operators, std::uint64_t seed);

  /// BrokenAnswers until the time is over, and ends in calm.
  asio::awaitable<void> run(base::Instant until);

private:
  using Step = asio::awaitable<void>;
  struct Kind {
    std::string Name;
    bool IsPlanned = false;
    /// How often it is drawn, against the others.
    int Weight = 1;
    std::function<Step(Faults &)> Strike;
  };

  Step phase(base::milliseconds length, bool isPlanned);
  Step calm(base::milliseconds length);
  Step strike(const Kind &kind);

  Step killGateway();
  Step pauseGateway();
  Step stopGateway();
  Step hangUpGateway();
  Step killAllGateways();
  Step strikeSidecar();
  Step strikeStore(std::string fault);
  Step silenceStore();
  Step strikeLink(Proxy &link);
  Step resetLink(Proxy &link);
  Step crashWorker();
  Step worsenWorker();
  Step emptyWorker();
  Step changeConfig();
  Step changeConfigOften();

  Gateway &anyGateway();
  Worker &anyWorker();
  base::milliseconds between(int fromMs, int toMs);
  Step waitUntilReady(Gateway &gateway);

  asio::io_context &Io;
  Journal &Log;
  Deployment &All;
  Operators &Plans;
  base::Random Random;
  const Kind &anyKind();

  std::vector<Kind> Kinds;
  int Open = 0;
  bool IsConfigChanging = false;
};

} // namespace drumlanding::soak
