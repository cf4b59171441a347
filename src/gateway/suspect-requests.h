/// Suspect requests: applies the quarantine to a forwarded request. It collects
/// the evidence of its attempts, and lets a suspect request run in one place at
/// a time.
#pragma once

#include "forwarded-request.h"

namespace drumlanding::gateway {

/// Whether a request may be sent to a server now.
enum class Turn {
  Granted,
  Busy,        ///< It is suspect, and running elsewhere for longer than it may
               ///< wait here.
  Quarantined, ///< Too many servers have ended while they ran it.
};

/// Waits until the request may be sent. A request that is not suspect does not
/// wait. `endTurn` must follow.
asio::awaitable<Turn> waitForTurn(ForwardedRequest &f);
/// Lets other copies of a suspect request run.
void endTurn(ForwardedRequest &f);

/// Builds the response to a request whose turn was not granted, and logs it.
http::Response refuseSuspect(ForwardedRequest &f, Turn turn);

/// Records that a server did not complete the request: evidence against it
/// if the server may have ended.
void recordUnanswered(ForwardedRequest &f, const Server &server);
/// Records that a server completed the request. If the response was not
/// delimited, the server may have ended: it is verified first.
void recordCompleted(ForwardedRequest &f, const Server &server,
                     AttemptOutcome outcome);
/// Records that a server has sent events of the request for so long that
/// neither the request nor its parts end servers.
void recordSurvival(ForwardedRequest &f);
/// Returns whether recordSurvival() applies.
bool hasSurvived(const ForwardedRequest &f);
/// Records that part of a response has arrived from a server.
void recordServerResponse(GatewayContext &ctx, const ServerInstance &server);

/// Serves the list of suspect requests, and their release by DELETE.
/// `subpath` is the rest of the path: empty, or a slash and a fingerprint.
http::Response serveSuspects(GatewayContext &ctx, const http::Request &request,
                             std::string_view subpath);

} // namespace drumlanding::gateway
