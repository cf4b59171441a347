/// Dialect: how callers and backend servers say what the gateway means. The
/// gateway knows no header, path or field of theirs: hooks translate.
///
///   Dialect dialect = platform::makeDialect();
///   CallerRequest r = dialect.ReadRequest(std::move(request));
///   http::Request out = dialect.ToServer(r, order);
#pragma once

#include "drumlanding/base/result.h"
#include "drumlanding/gateway/config.h"
#include "drumlanding/http/connection.h"
#include "drumlanding/http/http.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::gateway {

/// A caller's request as the gateway understands it.
struct CallerRequest {
  /// As sent, less what only concerns the caller's connection, the key, and
  /// what only the gateway may say to a server.
  http::Request Http;
  /// Names this attempt of the caller; empty when it is missing.
  std::string AttemptId;
  std::string Host;
  std::string Key;
  /// How long the caller will wait.
  std::optional<base::milliseconds> Timeout;
  /// Generations: the prompt's tokens, the most and the expected output.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  std::uint32_t ExpectedTokens = 0;
};

/// A copy of a running generation's memory, and where the stream goes on.
struct ResumePoint {
  /// The server that made the copy, or holds it, and the copy's name there.
  base::Endpoint Address;
  std::string Handle;
  std::int64_t LastEventId = 0;
};

/// What the gateway tells a server beside the caller's request.
struct RequestMetadata {
  /// The server's id; another server at its address must not run the request.
  std::string ServerId;
  std::optional<base::milliseconds> TimeRemaining;
  std::string Organisation;
  /// 0 is the most urgent, 9 the least.
  std::optional<int> Priority;
  std::optional<ResumePoint> ResumeFrom;
};

/// What a server's answer says.
struct ServerResponse {
  int Status = 0;
  /// False when it answers another request.
  bool MatchesAttempt = false;
  /// The server vouches for it.
  bool IsStamped = false;
  /// The server says that the request did not run.
  bool HasNotRun = false;
  /// Another server answers at this address.
  bool IsWrongServer = false;
  /// The headers to pass on.
  std::vector<http::Header> Headers;
};

/// A server's report of its own state.
struct ServerReport {
  bool IsLeaving = false;
  std::optional<base::milliseconds> LeavesIn;
  /// When it started, as a Unix time; 0 when it does not say.
  base::milliseconds StartedAt{0};
  int Running = 0;
  int Waiting = 0;
  std::uint64_t UsedTokens = 0;
  std::uint64_t TotalTokens = 0;
};

/// An order to copy a running generation's memory to another server.
struct CopyRequest {
  std::string AttemptId;
  base::Endpoint To;
  /// The run stops before this copy, which is the last.
  bool IsLast = false;
};

/// What became of a MoveOrder.
struct CopyResponse {
  enum class Outcome {
    Copied,
    NoSuchRun, ///< It has not begun to run, or is over.
    Busy,      ///< A copy is under way already.
    NoRoom,    ///< No room at the destination, or no way there.
    Failed,
  };
  Outcome Code = Outcome::Failed;
  /// Names the copy; also given when a last copy failed, for the source.
  std::string Handle;
  std::uint64_t EventsGenerated = 0;
};

struct ProtocolCodec {
  std::function<CallerRequest(http::Request)> DecodeRequest;
  std::function<http::Request(const CallerRequest &, const RequestMetadata &)>
      EncodeServerRequest;
  std::function<ServerResponse(const CallerRequest &,
                               const http::ResponseHead &)>
      DecodeResponseHead;
  /// Puts the attempt's id on an answer of the gateway's own.
  std::function<void(const CallerRequest &, http::Response &)> AddAttemptId;
  std::function<http::Request(const CopyRequest &)> EncodeCopyRequest;
  std::function<CopyResponse(const base::Result<http::Response> &)>
      DecodeCopyResponse;
  std::function<http::Request(std::string_view handle)> EncodeReleaseCopy;
  std::function<http::Request()> EncodeReportRequest;
  std::function<base::Result<ServerReport>(const http::Response &)>
      DecodeReport;
  std::function<http::Request()> EncodeHealthRequest;
  /// Reads a server's id from its health answer; empty when it is not well.
  std::function<std::string(const http::Response &)> DecodeHealth;
  /// The path at which a caller's balancer asks whether the gateway is ready.
  std::string ReadyPath;
};

} // namespace drumlanding::gateway
