/// Request ids. Each contains the server and incarnation of its agent, so that
/// any entry can find the stream and another incarnation does not mistake it
/// for one of its own.
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
  /// 32 random hexadecimal digits, which cannot be guessed.
  std::string Nonce;
};

/// Returns "server~incarnation~nonce".
std::string toString(const RequestId &id);
base::Result<RequestId> parseRequestId(std::string_view text);

} // namespace drumlanding::wire
