// Streams: one long poll per agent, and delivery of the tokens it returns.
#include "drumlanding/entry/core.h"

#include "drumlanding/base/invariant.h"
#include "drumlanding/entry/members.h"
#include "drumlanding/wire/refusal.h"
#include "entry-constants.h"

#include <fmt/format.h>

namespace drumlanding::entry {

using base::Invariant;
using base::invariant;
using base::Reason;
using base::Refusal;
using base::Result;
using base::Verdict;

/// Ensures that only the newest connection follows a stream: the older one of a
/// caller that reconnected may be open with no reader. Fails the older session;
/// returns false when that is `s`.
bool Core::keepNewestFollower(base::Now now, Session &s) {
  const auto agentPoll = AgentPolls.find(s.Server);
  if (agentPoll == AgentPolls.end())
    return true;
  const auto stream = agentPoll->second.Streams.find(s.RequestId);
  if (stream == agentPoll->second.Streams.end())
    return true;
  const bool isOlder = stream->second > s.Id;
  Session &replaced = isOlder ? s : Sessions.at(stream->second);
  failSession(now, replaced, {Verdict::Ran, Reason::TakenOver, {}});
  return !isOlder;
}

void Core::followStream(base::Now now, Session &s) {
  if (!keepNewestFollower(now, s))
    return;
  s.State = Phase::Streaming;
  AgentPoll &agentPoll = AgentPolls[s.Server];
  if (agentPoll.Streams.empty())
    agentPoll.LastReplyAt = now.Steady;
  agentPoll.Streams[s.RequestId] = s.Id;
  // Polls at once when no poll is open; otherwise the next tick sends one poll
  // for all new streams.
  if (agentPoll.PollId == 0)
    poll(now, s.Server);
  else
    agentPoll.NeedsPoll = true;
  // The stream of a new generation begins with its first token: until then
  // another server can be tried or the request refused with an HTTP status.
  if (!s.Generation)
    beginStream(s);
}

void Core::beginStream(Session &s) {
  if (!s.HasBegun)
    Output.push_back(BeginStream{s.Id, s.RequestId});
  s.HasBegun = true;
}

void Core::unfollowStream(Session &s) {
  const auto it = AgentPolls.find(s.Server);
  if (it == AgentPolls.end())
    return;
  const auto stream = it->second.Streams.find(s.RequestId);
  if (stream != it->second.Streams.end() && stream->second == s.Id)
    it->second.Streams.erase(stream);
}

/// Records how long the caller waited for these tokens.
void Core::recordTokenGap(base::Now now, Session &s) {
  const bool isFirst = s.LastTokenAt == base::Instant{};
  const base::Duration gap =
      now.Steady - (isFirst ? s.RequestedAt : s.LastTokenAt);
  s.LastTokenAt = now.Steady;
  // The first token after a resume is not the first token of the answer, so it
  // does not count as time to first token.
  if (isFirst && !s.Generation)
    return;
  if (Options.Observe)
    Options.Observe(isFirst ? "drumlanding_first_token_seconds"
                            : "drumlanding_token_gap_seconds",
                    gap);
  if (!isFirst && gap > StallThreshold)
    count("drumlanding_stall_seconds_total", {}, {},
          std::chrono::duration<double>(gap).count());
}

void Core::poll(base::Now now, const std::string &server) {
  AgentPoll &agentPoll = AgentPolls.at(server);
  agentPoll.NeedsPoll = false;
  agentPoll.NextPollAt = now.Steady + PollTimeout;
  wire::Request request;
  wire::Poll &poll = *request.mutable_poll();
  poll.set_wait_ms(static_cast<std::uint32_t>(PollWait.count()));
  for (const auto &[requestId, session] : agentPoll.Streams) {
    wire::Cursor &cursor = *poll.add_cursors();
    cursor.set_request_id(requestId);
    cursor.set_next_index(Sessions.at(session).NextIndex);
  }
  agentPoll.PollId = send(server, std::move(request),
                          {.Kind = MessageKind::Poll}, PollTimeout);
}

void Core::pollAll(base::Now now) {
  std::vector<SessionId> lostSessions;
  for (auto it = AgentPolls.begin(); it != AgentPolls.end();) {
    AgentPoll &agentPoll = it->second;
    if (agentPoll.Streams.empty()) {
      it = AgentPolls.erase(it);
      continue;
    }
    if (now.Steady - agentPoll.LastReplyAt > StreamLostTimeout)
      for (const auto &[requestId, session] : agentPoll.Streams)
        lostSessions.push_back(session);
    else if (agentPoll.NeedsPoll || now.Steady >= agentPoll.NextPollAt)
      poll(now, it->first);
    ++it;
  }
  for (SessionId id : lostSessions) {
    Session &s = Sessions.at(id);
    const Verdict verdict =
        s.NextIndex == 0 ? Verdict::MayHaveRun : Verdict::Ran;
    failSession(now, s, {verdict, Reason::BackendServerLost, RetryAfterBusy});
  }
}

void Core::onPollReply(base::Now now, const SentMessage &sent, MessageId id,
                       const Result<wire::Reply> &r) {
  const auto it = AgentPolls.find(sent.Peer);
  if (it == AgentPolls.end())
    return;
  const bool isCurrent = it->second.PollId == id;
  if (isCurrent)
    it->second.PollId = 0;
  if (!ok(r)) {
    if (isCurrent)
      it->second.NextPollAt = now.Steady + PollRetryDelay;
    return;
  }
  it->second.LastReplyAt = now.Steady;
  if (isCurrent)
    it->second.NeedsPoll = true;
  for (const wire::StreamPart &part : value(r).poll().parts())
    onStreamPart(now, sent.Peer, part);
  // Poll again at once: more tokens are expected.
  const auto current = AgentPolls.find(sent.Peer);
  if (isCurrent && current != AgentPolls.end() &&
      !current->second.Streams.empty())
    poll(now, sent.Peer);
}

void Core::onStreamPart(base::Now now, const std::string &server,
                        const wire::StreamPart &part) {
  const auto agentPoll = AgentPolls.find(server);
  if (agentPoll == AgentPolls.end())
    return;
  const auto stream = agentPoll->second.Streams.find(part.request_id());
  // Late part: the session has ended or follows another attempt.
  if (stream == agentPoll->second.Streams.end())
    return;
  Session &s = Sessions.at(stream->second);
  invariant(Invariant::OneGeneration, s.RequestId == part.request_id(),
            s.RequestId);
  if (part.first_index() > s.NextIndex && part.tokens_size() > 0) {
    failSession(now, s, {Verdict::Ran, Reason::StreamGap, {}});
    return;
  }
  std::uint32_t duplicates = s.NextIndex - part.first_index();
  if (!Options.Enabled.DropDuplicateTokens)
    duplicates = 0;
  const auto size = static_cast<std::uint32_t>(part.tokens_size());
  if (duplicates < size) {
    const std::uint32_t first = part.first_index() + duplicates;
    invariant(Invariant::TokensInOrder, first == s.NextIndex, s.RequestId);
    beginStream(s);
    recordTokenGap(now, s);
    Output.push_back(DeliverTokens{
        s.Id,
        first,
        {part.tokens().begin() + duplicates, part.tokens().end()}});
    count("drumlanding_tokens_total", {}, {}, size - duplicates);
    s.NextIndex = part.first_index() + size;
  }
  const bool isUpToDate = part.first_index() + size >= s.NextIndex;
  if (part.has_failure()) {
    const Refusal why = wire::fromWire(part.failure());
    if (s.Generation && s.NextIndex == 0)
      retryOrFail(now, s, why);
    else
      failSession(now, s, why);
    return;
  }
  if (!part.finished() || !isUpToDate)
    return;
  beginStream(s);
  Output.push_back(EndStream{s.Id, std::nullopt});
  count("drumlanding_requests_total", "verdict", toString(Verdict::Ran));
  logEvent("entry.end", fmt::format("end request={} verdict=ran tokens={}",
                                    s.RequestId, s.NextIndex));
  closeSession(s.Id);
}

} // namespace drumlanding::entry
