/// Request ids: each names the agent's server and incarnation, so that any
/// entry can find a stream and no other incarnation can mistake it.
///
///   RequestId id{"tutor-1", 0x2a, randomId()};
///   parseRequestId(toString(id));
#pragma once

#include "drumlanding/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace drumlanding::wire {

struct RequestId {
  std::string Server;
  std::uint64_t Incarnation = 0;
  /// 32 hexadecimal digits that nobody can guess.
  std::string Nonce;
};

/// Returns "server~incarnation~nonce".
std::string toString(const RequestId &id);
base::Result<RequestId> parseRequestId(std::string_view text);

} // namespace drumlanding::wire
