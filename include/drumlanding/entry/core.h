/// Entry core: accepts callers' requests, chooses backend servers and delivers
/// answers. It is deterministic and does no I/O: `handle` maps an event and the
/// current time to commands for the shell.
///
///   Core core(options);
///   for (const Command &c : core.handle(now, GenerationRequested{...}))
///     execute(c);
#pragma once

#include "control.pb.h"
#include "drumlanding/base/clock.h"
#include "drumlanding/base/hash.h"
#include "drumlanding/base/result.h"
#include "drumlanding/base/settings.h"
#include "drumlanding/base/verdict.h"
#include "drumlanding/entry/limits.h"
#include "drumlanding/entry/router.h"
#include "drumlanding/plan/document-store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace drumlanding::entry {

/// Identifies a caller's connection and the one request on it.
using SessionId = std::uint64_t;
/// Identifies a message to a peer that awaits a reply.
using MessageId = std::uint64_t;

// Events.

/// A caller requested a generation.
struct GenerationRequested {
  SessionId Session = 0;
  std::string Credential;
  std::string Model;
  /// Empty for any version and no adapter.
  std::string Version;
  std::string Adapter;
  std::string Prompt;
  std::uint32_t MaxTokens = 0;
  /// False when the caller wants at most one attempt to run.
  bool Repeatable = true;
};
/// A caller reconnected to a stream; gives the index of its next token.
struct ResumeRequested {
  SessionId Session = 0;
  std::string Credential;
  std::string RequestId;
  std::uint32_t NextIndex = 0;
};
struct CancelRequested {
  SessionId Session = 0;
  std::string Credential;
  std::string RequestId;
};
/// A caller called a plain service.
struct CallRequested {
  SessionId Session = 0;
  std::string Credential;
  std::string Service;
  std::string Method;
  std::string Path;
  std::string Body;
  bool Repeatable = false;
  /// For calls that are not repeatable: the idempotency key and its timestamp.
  std::string Key;
  base::WallTime KeyTime{};
};
struct SessionClosed {
  SessionId Session = 0;
};
struct ReplyArrived {
  MessageId Message = 0;
  base::Result<wire::Reply> Reply;
};
/// Another entry sent a request.
struct PeerRequestArrived {
  std::uint64_t ReplyId = 0;
  wire::Request Message;
};
/// One VM in the platform's list.
struct ListedVm {
  std::string Name;
  /// "entry" or "agent".
  std::string Role;
  std::string Service;
  std::string Place;
  base::Endpoint Control;
  bool IsLeaving = false;
};
struct VmsListed {
  std::vector<ListedVm> Vms;
};
/// A document was read from the platform's key-value service.
struct DocumentRead {
  wire::DocumentKind Kind = wire::BUNDLE;
  std::string Body;
};
struct LeaveRequested {};
struct Tick {};

using Event =
    std::variant<GenerationRequested, ResumeRequested, CancelRequested,
                 CallRequested, SessionClosed, ReplyArrived, PeerRequestArrived,
                 VmsListed, DocumentRead, LeaveRequested, Tick>;

// Commands.

struct SendMessage {
  MessageId Message = 0;
  std::string Peer;
  base::Endpoint To;
  wire::Request Request;
  base::milliseconds Timeout{0};
};
struct ReplyToPeer {
  std::uint64_t ReplyId = 0;
  wire::Reply Message;
};
/// Begins the stream; `RequestId` can be used to resume it.
struct BeginStream {
  SessionId Session = 0;
  std::string RequestId;
};
struct DeliverTokens {
  SessionId Session = 0;
  std::uint32_t FirstIndex = 0;
  std::vector<std::string> Tokens;
};
/// Ends the stream: complete, or with the failure that interrupted it.
struct EndStream {
  SessionId Session = 0;
  std::optional<base::Refusal> Failure;
};
/// Refuses a request before its stream began.
struct RefuseSession {
  SessionId Session = 0;
  base::Refusal Why;
};
/// Delivers the answer of a plain service, or confirms a cancel (status 204).
struct AnswerSession {
  SessionId Session = 0;
  wire::CallReply Answer;
};
/// Closes the link to a removed peer.
struct DisconnectPeer {
  std::string Peer;
};

using Command =
    std::variant<SendMessage, ReplyToPeer, BeginStream, DeliverTokens,
                 EndStream, RefuseSession, AnswerSession, DisconnectPeer>;
using Commands = std::vector<Command>;

/// Switches that let tests show what each mechanism prevents; see
/// agent::Mechanisms. The programs enable all of them.
struct Mechanisms {
  bool ResolveLostReplies = true;
  bool DropDuplicateTokens = true;
  bool LimitRetries = true;
  bool PropagateDocuments = true;
};

struct CoreOptions {
  std::string Name;
  std::string Place;
  bundle::TrustedKeys Trusted;
  RouterOptions Routing;
  std::uint64_t Seed = 1;
  /// Maximum number of servers of one service that this entry exchanges reports
  /// with and routes to.
  std::size_t SubsetSize = 16;
  Mechanisms Enabled;
  std::function<void(std::string_view component, std::string_view message)>
      LogDecision;
  std::function<void(std::string_view metric, std::string_view label,
                     std::string_view value, double by)>
      IncrementMetric;
  /// Records a duration in a histogram.
  std::function<void(std::string_view metric, base::Duration time)> Observe;
};

class Members;

class Core {
public:
  explicit Core(CoreOptions options);
  ~Core();

  Commands handle(base::Now now, Event event);

  bool isReady() const;
  bool hasSessions() const { return !Sessions.empty(); }
  std::size_t sessions() const { return Sessions.size(); }
  const plan::DocumentStore &documents() const { return Documents; }
  const Members &members() const { return *Peers; }

private:
  enum class Phase {
    Starting,           ///< A Start or Call awaits its reply.
    ResolvingLostReply, ///< Its reply was lost; a Revoke awaits the outcome.
    Backoff,            ///< Waits for a newer document or an incarnation.
    Attaching,          ///< An Attach to a running generation awaits its reply.
    Streaming,
    Cancelling,
  };

  struct Session {
    SessionId Id = 0;
    Phase State = Phase::Starting;
    std::string Organisation;
    /// The original request of a new generation or call. At most one is set.
    std::optional<GenerationRequested> Generation;
    std::optional<CallRequested> Call;
    /// The current attempt.
    std::string RequestId;
    std::string AttemptId;
    std::string Server;
    std::vector<std::string> TriedServers;
    /// The incarnation that the attempt was sent to.
    std::uint64_t Incarnation = 0;
    int AttemptCount = 0;
    int BackoffCount = 0;
    int RevokeCount = 0;
    /// True when an earlier attempt may have run, so that the final verdict
    /// cannot be "not run".
    bool MayHaveRun = false;
    bool HasBegun = false;
    std::uint32_t NextIndex = 0;
    base::Instant RequestedAt{};
    base::Instant LastTokenAt{};
    base::Instant Deadline{};
    base::Instant RetryAt{};
  };

  enum class MessageKind {
    Start,
    Revoke,
    Attach,
    Cancel,
    Call,
    Poll,
    Sync,
    Fetch,
    Push,
  };
  struct SentMessage {
    MessageKind Kind = MessageKind::Sync;
    /// 0 when the message belongs to no session.
    SessionId Session = 0;
    std::string Peer = {};
    /// The attempt it belongs to; replies for earlier attempts are dropped.
    std::string AttemptId = {};
    wire::DocumentKind Document = wire::BUNDLE;
  };

  /// The long poll to one agent and the streams that it covers.
  struct AgentPoll {
    std::map<std::string, SessionId> Streams;
    MessageId PollId = 0;
    base::Instant LastReplyAt{};
    base::Instant NextPollAt{};
    bool NeedsPoll = false;
  };

  void on(base::Now now, GenerationRequested &e);
  void on(base::Now now, ResumeRequested &e);
  void on(base::Now now, CancelRequested &e);
  void on(base::Now now, CallRequested &e);
  void on(base::Now now, SessionClosed &e);
  void on(base::Now now, ReplyArrived &e);
  void on(base::Now now, PeerRequestArrived &e);
  void on(base::Now now, VmsListed &e);
  void on(base::Now now, DocumentRead &e);
  void on(base::Now now, LeaveRequested &e);
  void on(base::Now now, Tick &e);

  const bundle::Organisation *authorise(SessionId id,
                                        const std::string &credential);
  base::Refusal checkGeneration(const GenerationRequested &e,
                                const bundle::Organisation &o) const;
  base::Refusal checkCall(base::Now now, const CallRequested &e,
                          const bundle::Organisation &o) const;
  Session *openSession(base::Now now, SessionId id,
                       const bundle::Organisation &o);

  void startAttempt(base::Now now, Session &s);
  bool chooseServer(base::Now now, Session &s);
  bool discoverOwner(base::Now now, Session &s);
  void sendStart(base::Now now, Session &s);
  void sendCall(base::Now now, Session &s);
  void sendRevoke(base::Now now, Session &s);
  void retryOrFail(base::Now now, Session &s, base::Refusal why);
  void backOff(base::Now now, Session &s, base::Refusal why);
  bool keepNewestFollower(base::Now now, Session &s);
  void followStream(base::Now now, Session &s);
  void beginStream(Session &s);
  void recordTokenGap(base::Now now, Session &s);
  void unfollowStream(Session &s);
  void failSession(base::Now now, Session &s, base::Refusal why);
  void closeSession(SessionId id);

  void onLostReply(base::Now now, Session &s);
  void onStartReply(base::Now now, Session &s,
                    const base::Result<wire::Reply> &r);
  void onCallReply(base::Now now, Session &s,
                   const base::Result<wire::Reply> &r);
  void onRevokeReply(base::Now now, Session &s,
                     const base::Result<wire::Reply> &r);
  void onAttachReply(base::Now now, Session &s,
                     const base::Result<wire::Reply> &r);
  void onCancelReply(base::Now now, Session &s,
                     const base::Result<wire::Reply> &r);
  void onPollReply(base::Now now, const SentMessage &sent, MessageId id,
                   const base::Result<wire::Reply> &r);
  void onStreamPart(base::Now now, const std::string &server,
                    const wire::StreamPart &part);
  void onDocumentReply(base::Now now, const SentMessage &sent,
                       const base::Result<wire::Reply> &r);
  /// Fetches or pushes a document when a peer's version differs from ours.
  void reconcileVersions(base::Now now, const std::string &peer,
                         const wire::Versions &theirs);

  void poll(base::Now now, const std::string &server);
  void pollAll(base::Now now);
  void syncAll(base::Now now);
  /// Fails sessions past their deadline and retries those whose backoff is
  /// over.
  void checkSessions(base::Now now);
  void applyDocument(base::Now now, const wire::Document &document,
                     std::string_view from);
  MessageId send(const std::string &peer, wire::Request request,
                 SentMessage sent, base::milliseconds timeout);
  void logEvent(std::string_view component, const std::string &message) const;
  void count(std::string_view metric, std::string_view label = {},
             std::string_view value = {}, double by = 1) const;

  CoreOptions Options;
  plan::DocumentStore Documents;
  std::unique_ptr<Members> Peers;
  Router Routing;
  base::Random Random;
  OrganisationLimits Limits;
  RetryBudget Budget;
  std::unordered_map<std::string, std::string> OrganisationByCredentialHash;
  std::unordered_map<SessionId, Session> Sessions;
  std::unordered_map<MessageId, SentMessage> PendingMessages;
  std::map<std::string, AgentPoll> AgentPolls;
  Commands Output;
  MessageId NextMessage = 1;
  base::Instant LastCheckAt{};
  bool IsLeaving = false;
};

} // namespace drumlanding::entry
