/// HTTP API for callers: parses requests into core events and formats refusals.
/// docs/API.md documents it.
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/base/verdict.h"
#include "drumlanding/entry/core.h"
#include "drumlanding/http/http.h"

#include <string>
#include <string_view>
#include <variant>

namespace drumlanding::entry {

/// A requested generation and the format of its answer.
struct ParsedGeneration {
  GenerationRequested Request;
  /// True for server-sent events, false for one JSON answer.
  bool Stream = true;
};

/// A request that the API accepts.
using CallerRequest = std::variant<ParsedGeneration, ResumeRequested,
                                   CancelRequested, CallRequested>;

/// Parses a request; `Session` is left unset. An error's `Where` names the
/// invalid field or header.
base::Result<CallerRequest> readCallerRequest(const http::Request &request);

/// Returns the timestamp of an idempotency key, a version 7 UUID (RFC 9562).
base::Result<base::WallTime> idempotencyKeyTime(std::string_view uuid);

/// Returns the HTTP response for a refusal. `detail` replaces the reason's
/// default message.
http::Response refusalResponse(const base::Refusal &why,
                               std::string_view detail = {});

/// Returns a refusal as JSON, as error events carry it.
std::string refusalJson(const base::Refusal &why, std::string_view detail = {});

} // namespace drumlanding::entry
