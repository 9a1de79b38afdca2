/// \file
/// The interface between the relay and the network, and between the relay and
/// the wire format of the targets.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYHOOKS_H
#define BERGAMOTHOOK_LIBRELAY_RELAYHOOKS_H

#include "LibBase/Result.h"
#include "LibLoan/HostRoster.h"
#include "LibNet/MemoryBudget.h"
#include "LibRelay/PeerExchange.h"
#include "LibRelay/RelayCall.h"
#include "LibRelay/RelayOutcome.h"
#include "LibRelay/TargetDirectory.h"
#include "LibTask/Runtime.h"

#include <functional>
#include <optional>

namespace bergamothook {

/// What a target's response says about the call.
enum class ResponseVerdict {
  /// The response of the target that executed the call, whatever its status.
  Ran,
  /// The target states that it has not executed the call and will not.
  NotRun,
  /// Another target now has the address; the call was not executed.
  WrongTarget,
  /// A late response to an earlier call on the same connection.
  Stale,
  /// An answer that does not name this call alone, a success without proof that
  /// the target produced it, or a status that claims the call was not executed
  /// without the header field that guarantees it.
  Unverified,
};

/// The field of an answer in which a target states its rate limit.
struct RateLimitField {
  /// Requests per second from all hosts together; unset if there is no limit.
  std::optional<double> PerSecond;
  /// The text of a field that can't be read.
  std::optional<std::string> UnreadableText;
};

/// A call in progress at one target. Each hook blocks the calling task; if the
/// caller disconnects or the call must be answered, the wait ends with
/// NetError::Cancelled.
struct TargetExchange {
  std::function<Result<HttpResponseHead>(TimePoint Deadline)> ReadHead;
  std::function<Result<BodyPiece>(TimePoint Deadline)> ReadBody;
  /// Starts to read the next response on the same connection.
  std::function<void()> NextResponse;
  /// Ends the exchange and keeps the connection for reuse if its state allows
  /// it.
  std::function<void()> Finish;
  /// Like Finish, after the target refused the call. The connection does not
  /// carry the same call again, since the target may repeat the refusal.
  std::function<void()> FinishRefused;
  /// Closes the connection, which makes the target stop its work.
  std::function<void()> Abort;
};

/// Access to the caller of one call.
struct CallerHooks {
  /// Notified of any activity on the caller's connection or on the connection
  /// of the exchange.
  Event *Changed = nullptr;
  std::function<bool()> HasLeft;
  /// Tells whether the host stops so soon that the call is to be answered now.
  std::function<bool()> MustAnswer = [] { return false; };
  /// Tells whether a call may be passed on that ends at \p Deadline at the
  /// latest: the host may stop before.
  std::function<bool(TimePoint Deadline, bool MayRepeat)> MaySend =
      [](TimePoint, bool) { return true; };
  /// Tells whether there is no use in waiting for anything.
  bool isGivenUp() const { return this->HasLeft() || this->MustAnswer(); }
  /// Tells whether there is no use in waiting to pass a call on.
  bool isSendGivenUp(TimePoint Deadline, bool MayRepeat) const {
    return this->isGivenUp() || !this->MaySend(Deadline, MayRepeat);
  }
  /// Told why a call is refused, before the refusal is sent.
  std::function<void(RelayReason)> WillRefuse = [](RelayReason) {};
  /// Sends a complete response.
  std::function<Result<void>(const HttpResponseHead &, std::string_view Body)>
      SendResponse;
  std::function<Result<void>(const HttpResponseHead &)> BeginStream;
  std::function<Result<void>(std::string_view Bytes)> SendChunk;
  /// Marks the stream as complete.
  std::function<Result<void>()> EndStream;
  /// Ends a stream so that the caller cannot mistake it for a complete one.
  std::function<void()> AbortStream;
};

/// Whether a target is asked, before it gets a call, which run of it answers.
enum class RunCheck {
  None,
  /// The call is sent unless the target says that it is another run than the
  /// listed one.
  UnlessOther,
  /// The call is sent only if the target says that it is the listed run.
  OnlyListed,
};

/// What a target says of its run.
enum class RunAnswer { Listed, Other, Unknown };

/// The conditions under which a call is sent.
struct SendTerms {
  TimePoint Deadline;
  /// Chooses the check for a connection that is \p ConnectedFor old, or older.
  std::function<RunCheck(Duration ConnectedFor)> CheckRun = [](Duration) {
    return RunCheck::None;
  };
  /// Tells whether the target may still receive the call, which may change
  /// while it is being connected to.
  std::function<bool()> MayReceive = [] { return true; };
};

struct RelayHooks {
  Runtime Tasks;

  /// Bounds what calls hold; null if it is not bounded.
  MemoryBudgetHandle Memory;

  /// Like Tasks.Now, but counts the time during which the machine was
  /// suspended.
  std::function<TimePoint()> LeaseClock;

  /// Tells whether every version of the configuration that has to be in force
  /// is known.
  std::function<bool()> IsConfigCurrent = [] { return true; };

  /// Connects to a target and sends it the call. NetError::ConnectFailed
  /// guarantees that no byte was sent. A call that may no longer be passed on
  /// once it is connected is not sent, nor is one whose target may no longer
  /// receive it or fails the check of its run (NetError::UnexpectedPeer).
  std::function<Result<TargetExchange>(
      const ListedTarget &Target, const RelayCall &Call,
      const HttpRequestHead &Head, const CallerHooks &Caller,
      const SendTerms &Terms)>
      Open;

  /// Builds the request head for a target; the caller's own fields are passed
  /// through unchanged. \p ResumeAfter is the id of the last event that the
  /// caller has received.
  std::function<HttpRequestHead(const RelayCall &Call,
                                const ListedTarget &Target, Duration TimeLeft,
                                std::optional<std::uint64_t> ResumeAfter)>
      MakeHead;

  std::function<ResponseVerdict(const HttpResponseHead &Head,
                                const RelayCall &Call)>
      Classify;

  std::function<RateLimitField(const HttpResponseHead &Head)> ReadRateLimit;

  /// Sends a health request to a target. \returns for how long the target
  /// stays cold; nothing if there is no usable response.
  std::function<std::optional<Duration>(
      const ListedTarget &Target, const std::string &Path,
      const CallerHooks &Caller, TimePoint Deadline,
      const std::function<bool()> &IsGivenUp)>
      AskHealth = [](const ListedTarget &, const std::string &,
                     const CallerHooks &, TimePoint,
                     const std::function<bool()> &) {
        return std::optional<Duration>();
      };

  /// See ReachHooks::Probe.
  std::function<bool(const ListedTarget &Target, TimePoint Deadline)> Probe;

  /// Connects to another host and asks it to serve a call. Blocks like Open.
  /// NetError::ConnectFailed guarantees that no byte was sent. Empty if calls
  /// can't be forwarded.
  std::function<Result<PeerExchange>(
      const RosterHost &Peer, const RelayCall &Call, const CallerHooks &Caller,
      TimePoint Deadline)>
      Forward;

  /// Builds the response head of a refusal, with the time after which the
  /// caller may retry, if any.
  std::function<HttpResponseHead(unsigned Status, const RelayCall &Call,
                                 std::optional<Duration> RetryAfter)>
      MakeRefusal;
};

} // namespace bergamothook

#endif
