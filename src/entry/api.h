/// The callers' interface: reads HTTP requests into the core's events and
/// writes refusals. docs/API.md describes it for callers.
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/base/verdict.h"
#include "drumlanding/entry/core.h"
#include "drumlanding/http/http.h"

#include <string>
#include <string_view>
#include <variant>

namespace drumlanding::entry {

/// A generation as asked, with how its answer is wanted.
struct ParsedGeneration {
  GenerationRequested Request;
  /// Server-sent events; otherwise one JSON answer.
  bool Stream = true;
};

/// What a caller can ask for.
using CallerRequest = std::variant<ParsedGeneration, ResumeRequested,
                                   CancelRequested, CallRequested>;

/// Reads a request; the session is not set. An error's `Where` names the place
/// in the request.
base::Result<CallerRequest> readCallerRequest(const http::Request &request);

/// Reads the time in a UUID of version 7 (RFC 9562).
base::Result<base::WallTime> idempotencyKeyTime(std::string_view uuid);

/// Returns the answer that carries a refusal. `detail` overrides the reason's
/// own sentence.
http::Response refusalResponse(const base::Refusal &why,
                               std::string_view detail = {});

/// Returns the JSON text of a refusal, for error events.
std::string refusalJson(const base::Refusal &why, std::string_view detail = {});

} // namespace drumlanding::entry
