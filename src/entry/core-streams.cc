// Streams: one long poll for each agent, and the tokens that come with it.
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

/// Makes sure that one connection follows a stream: the newest. A caller that
/// came back may have left a connection behind that nobody reads. Returns false
/// when `s` itself is the older one.
bool Core::takeOver(base::Now now, Session &s) {
  const auto following = Follows.find(s.Server);
  if (following == Follows.end())
    return true;
  const auto stream = following->second.Streams.find(s.RequestId);
  if (stream == following->second.Streams.end())
    return true;
  const bool isOlder = stream->second > s.Id;
  Session &loser = isOlder ? s : Sessions.at(stream->second);
  giveUp(now, loser, {Verdict::Ran, Reason::TakenOver, {}});
  return !isOlder;
}

void Core::follow(base::Now now, Session &s) {
  if (!takeOver(now, s))
    return;
  s.State = Phase::Streaming;
  Following &following = Follows[s.Server];
  if (following.Streams.empty())
    following.LastHeard = now.Steady;
  following.Streams[s.RequestId] = s.Id;
  // Alone it asks at once; with others the next tick asks for all new ones.
  if (following.Poll == 0)
    poll(now, s.Server);
  else
    following.NeedsPoll = true;
  // A new generation begins with its first token: until then another server
  // can still be tried, and the answer can still be a plain refusal.
  if (!s.Generation)
    begin(s);
}

void Core::begin(Session &s) {
  if (!s.Begun)
    Out.push_back(BeginStream{s.Id, s.RequestId});
  s.Begun = true;
}

void Core::unfollow(Session &s) {
  const auto it = Follows.find(s.Server);
  if (it == Follows.end())
    return;
  const auto stream = it->second.Streams.find(s.RequestId);
  if (stream != it->second.Streams.end() && stream->second == s.Id)
    it->second.Streams.erase(stream);
}

/// Measures what the caller waited for these tokens.
void Core::measureGap(base::Now now, Session &s) {
  const bool isFirst = s.LastToken == base::Instant{};
  const base::Duration gap = now.Steady - (isFirst ? s.AskedAt : s.LastToken);
  s.LastToken = now.Steady;
  // A resumed stream's first token here is not the first of the answer.
  if (isFirst && !s.Generation)
    return;
  if (Options.Observe)
    Options.Observe(isFirst ? "drumlanding_first_token_seconds"
                            : "drumlanding_token_gap_seconds",
                    gap);
  if (!isFirst && gap > StallAfter)
    count("drumlanding_stall_seconds_total", {}, {},
          std::chrono::duration<double>(gap).count());
}

void Core::poll(base::Now now, const std::string &server) {
  Following &following = Follows.at(server);
  following.NeedsPoll = false;
  following.NextPoll = now.Steady + PollLimit;
  wire::Request request;
  wire::Poll &poll = *request.mutable_poll();
  poll.set_wait_ms(static_cast<std::uint32_t>(PollWait.count()));
  for (const auto &[requestId, session] : following.Streams) {
    wire::Cursor &cursor = *poll.add_cursors();
    cursor.set_request_id(requestId);
    cursor.set_next_index(Sessions.at(session).NextIndex);
  }
  following.Poll =
      send(server, std::move(request), {.Kind = MessageKind::Poll}, PollLimit);
}

void Core::pollAll(base::Now now) {
  std::vector<SessionId> lost;
  for (auto it = Follows.begin(); it != Follows.end();) {
    Following &following = it->second;
    if (following.Streams.empty()) {
      it = Follows.erase(it);
      continue;
    }
    if (now.Steady - following.LastHeard > StreamLostAfter)
      for (const auto &[requestId, session] : following.Streams)
        lost.push_back(session);
    else if (following.NeedsPoll || now.Steady >= following.NextPoll)
      poll(now, it->first);
    ++it;
  }
  for (SessionId id : lost) {
    Session &s = Sessions.at(id);
    const Verdict verdict =
        s.NextIndex == 0 ? Verdict::MayHaveRun : Verdict::Ran;
    giveUp(now, s, {verdict, Reason::BackendServerLost, RetryBusy});
  }
}

void Core::onPollReply(base::Now now, const SentMessage &sent, MessageId id,
                       const Result<wire::Reply> &r) {
  const auto it = Follows.find(sent.Peer);
  if (it == Follows.end())
    return;
  const bool isCurrent = it->second.Poll == id;
  if (isCurrent)
    it->second.Poll = 0;
  if (!ok(r)) {
    if (isCurrent)
      it->second.NextPoll = now.Steady + PollBackoff;
    return;
  }
  it->second.LastHeard = now.Steady;
  if (isCurrent)
    it->second.NeedsPoll = true;
  for (const wire::StreamPart &part : value(r).poll().parts())
    onPart(now, sent.Peer, part);
  // Ask again at once: the next tokens are on their way.
  const auto again = Follows.find(sent.Peer);
  if (isCurrent && again != Follows.end() && !again->second.Streams.empty())
    poll(now, sent.Peer);
}

void Core::onPart(base::Now now, const std::string &server,
                  const wire::StreamPart &part) {
  const auto following = Follows.find(server);
  if (following == Follows.end())
    return;
  const auto stream = following->second.Streams.find(part.request_id());
  // Late: the session is over, or follows another attempt.
  if (stream == following->second.Streams.end())
    return;
  Session &s = Sessions.at(stream->second);
  invariant(Invariant::OneGeneration, s.RequestId == part.request_id(),
            s.RequestId);
  if (part.first_index() > s.NextIndex && part.tokens_size() > 0) {
    giveUp(now, s, {Verdict::Ran, Reason::StreamGap, {}});
    return;
  }
  std::uint32_t known = s.NextIndex - part.first_index();
  if (!Options.On.DropRepeatedTokens)
    known = 0;
  const auto size = static_cast<std::uint32_t>(part.tokens_size());
  if (known < size) {
    const std::uint32_t first = part.first_index() + known;
    invariant(Invariant::TokensInOrder, first == s.NextIndex, s.RequestId);
    begin(s);
    measureGap(now, s);
    Out.push_back(DeliverTokens{
        s.Id, first, {part.tokens().begin() + known, part.tokens().end()}});
    count("drumlanding_tokens_total", {}, {}, size - known);
    s.NextIndex = part.first_index() + size;
  }
  const bool hasAll = part.first_index() + size >= s.NextIndex;
  if (part.has_failure()) {
    const Refusal why = wire::fromWire(part.failure());
    if (s.Generation && s.NextIndex == 0)
      retryOrGiveUp(now, s, why);
    else
      giveUp(now, s, why);
    return;
  }
  if (!part.finished() || !hasAll)
    return;
  begin(s);
  Out.push_back(EndStream{s.Id, std::nullopt});
  count("drumlanding_requests_total", "verdict", toString(Verdict::Ran));
  note("entry.end", fmt::format("end request={} verdict=ran tokens={}",
                                s.RequestId, s.NextIndex));
  close(s.Id);
}

} // namespace drumlanding::entry
