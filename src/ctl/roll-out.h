/// Commands of drumlandingctl that talk to the running system.
#pragma once

#include "commands.h"
#include "drumlanding/base/settings.h"

namespace drumlanding::ctl {

/// bundle roll-out FILE: puts a signed bundle in force by compare-and-swap.
int rollOut(Arguments args, const base::Endpoint &platform);

/// bundle status: which version is in force, per place, and who lags.
int status(const base::Endpoint &platform, const std::string &controlKey,
           bool asJson);

} // namespace drumlanding::ctl
