/// Protocol codec: callbacks that translate between the gateway's types and the
/// HTTP headers, paths and fields of clients and backend servers. The gateway
/// itself depends on none of these.
///
///   ProtocolCodec codec = platform::makeProtocolCodec();
///   CallerRequest r = codec.DecodeRequest(std::move(request));
///   http::Request out = codec.EncodeServerRequest(r, metadata);
///   connection->send(out, r.Body);
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/gateway/config.h"
#include "drumlanding/http/connection.h"
#include "drumlanding/http/http.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::gateway {

/// A decoded client request.
struct CallerRequest {
  /// The request as received, without connection headers, the API key, and
  /// headers that only the gateway may send to a server, and without its body.
  http::Request Http;
  http::SharedBody Body = std::make_shared<const std::string>();
  /// Identifies this attempt of the client; empty when the client sent none.
  std::string AttemptId;
  std::string Host;
  std::string Key;
  /// Maximum time that the client waits for the response.
  std::optional<base::milliseconds> Timeout;
  /// Generations: number of prompt tokens, and maximum and expected number of
  /// output tokens.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  std::uint32_t ExpectedTokens = 0;
  /// Generations: the model and the prompt, as the client's headers give them.
  std::string PromptDescription;
  /// Generations: ids of the parts of the prompt that other requests may have
  /// in common with it, in order. Its last part, which is its own, is left out.
  std::vector<std::string> SharedPromptParts;
};

/// Where a stream resumes: a copy of the generation's KV cache, and the last
/// event that the gateway has received for this request. Unset when there is
/// none: the position that the client itself has named then applies.
struct ResumePoint {
  /// The server that the generation ran on before, and the handle that this
  /// server gave the copy.
  base::Endpoint Address;
  std::string Handle;
  std::optional<std::int64_t> LastEventId;
};

/// What the gateway sends to a server in addition to the client's request.
struct RequestMetadata {
  /// The intended server; any other server at the address must not run the
  /// request.
  std::string ServerId;
  std::optional<base::milliseconds> TimeRemaining;
  std::string Organisation;
  /// 0 is the most urgent, 9 the least.
  std::optional<int> Priority;
  std::optional<ResumePoint> ResumeFrom;
};

/// The decoded head of a server's response.
struct ServerResponse {
  int Status = 0;
  /// False when the response belongs to another request.
  bool MatchesAttempt = false;
  /// The response carries the server's stamp, which confirms its origin.
  bool IsStamped = false;
  /// The server states that the request did not run.
  bool HasNotRun = false;
  /// Another server than the intended one answered at this address.
  bool IsWrongServer = false;
  /// The requests per second that the server takes from all gateways together;
  /// unset when it names no limit.
  std::optional<double> RequestLimit;
  /// The response names a limit that cannot be read.
  bool HasMalformedLimit = false;
  /// Headers to forward to the client.
  std::vector<http::Header> Headers;
};

/// A server's report on its own state.
struct ServerReport {
  bool IsLeaving = false;
  std::optional<base::milliseconds> LeavesIn;
  /// Start time as Unix time; 0 when unknown.
  base::milliseconds StartedAt{0};
  int Running = 0;
  int Waiting = 0;
  std::uint64_t UsedTokens = 0;
  std::uint64_t TotalTokens = 0;
};

/// A server's response to a health check.
struct ServerHealth {
  /// Empty when the server is unhealthy.
  std::string Id;
  /// Start time as Unix time; 0 when unknown.
  base::milliseconds StartedAt{0};
};

/// Request to copy a running generation's KV cache to another server.
struct CopyRequest {
  std::string AttemptId;
  base::Endpoint To;
  /// The generation stops before this copy, and no further copy follows.
  bool IsLast = false;
};

/// Response to a CopyRequest.
struct CopyResponse {
  enum class Outcome {
    Copied,
    NoSuchRun, ///< The generation has not started, has ended or was stopped.
    Busy,      ///< A copy is already in progress.
    NoRoom,    ///< The destination has no room or is unreachable.
    NotSent,   ///< The source could not be reached; it received nothing.
    Failed,
  };
  Outcome Code = Outcome::Failed;
  /// Handle of the copy. Also set when a final copy failed: the source then
  /// still holds the KV cache under it.
  std::string Handle;
  std::uint64_t EventsGenerated = 0;
};

struct ProtocolCodec {
  std::function<CallerRequest(http::Request)> DecodeRequest;
  /// Returns the request to a server but for the body, which stays shared.
  std::function<http::Request(const CallerRequest &, const RequestMetadata &)>
      EncodeServerRequest;
  std::function<ServerResponse(const CallerRequest &,
                               const http::ResponseHead &)>
      DecodeResponseHead;
  /// Adds the attempt id to a response that the gateway itself generates.
  std::function<void(const CallerRequest &, http::Response &)> AddAttemptId;
  std::function<http::Request(const CopyRequest &)> EncodeCopyRequest;
  std::function<CopyResponse(const base::Result<http::Response> &)>
      DecodeCopyResponse;
  std::function<http::Request(std::string_view handle)> EncodeReleaseCopy;
  std::function<http::Request()> EncodeReportRequest;
  std::function<base::Result<ServerReport>(const http::Response &)>
      DecodeReport;
  std::function<http::Request()> EncodeHealthRequest;
  std::function<ServerHealth(const http::Response &)> DecodeHealth;
  /// Path of the readiness check for load balancers.
  std::string ReadyPath;
};

} // namespace drumlanding::gateway
