/// Commands of drumlandingctl that connect to the running system.
#pragma once

#include "commands.h"
#include "drumlanding/base/settings.h"

namespace drumlanding::ctl {

/// bundle roll-out FILE: stores a signed bundle by compare-and-swap.
int rollOut(Arguments args, const base::Endpoint &platform);

/// bundle status: prints the version in force per place and lagging processes.
int status(const base::Endpoint &platform, const std::string &controlKey,
           bool asJson);

} // namespace drumlanding::ctl
