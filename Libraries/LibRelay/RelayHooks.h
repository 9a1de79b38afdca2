/// \file
/// What the relay needs of the network and of the wire format of its targets.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYHOOKS_H
#define BERGAMOTHOOK_LIBRELAY_RELAYHOOKS_H

#include "LibBase/Result.h"
#include "LibRelay/RelayCall.h"
#include "LibRelay/TargetDirectory.h"
#include "LibTask/Runtime.h"

#include <functional>
#include <optional>

namespace bergamothook {

/// What a target's response says about the call.
enum class ResponseVerdict {
  /// The answer of the target that ran the call, whatever its status.
  Ran,
  /// The target states that it has not run the call and will not.
  NotRun,
  /// Another target has the address; the call has not run.
  WrongTarget,
  /// The answer belongs to another call, which this connection carried before.
  Stale,
  /// A success without the proof that the target made it.
  Unverified,
};

/// One call under way at one target. Each hook blocks the calling task; a
/// caller that leaves ends the wait with NetError::Cancelled.
struct TargetExchange {
  std::function<Result<HttpResponseHead>(TimePoint Deadline)> ReadHead;
  std::function<Result<BodyPiece>(TimePoint Deadline)> ReadBody;
  /// Begins to read another response on the same connection.
  std::function<void()> NextResponse;
  /// Ends the exchange; the connection is kept if nothing speaks against it.
  std::function<void()> Finish;
  /// Closes the connection, which makes the target stop its work.
  std::function<void()> Abort;
};

/// The caller of one call.
struct CallerHooks {
  /// Notified of anything that happens on the caller's connection or on that of
  /// the exchange.
  Event *Changed = nullptr;
  std::function<bool()> HasLeft;
  /// Sends a whole answer.
  std::function<Result<void>(const HttpResponseHead &, std::string_view Body)>
      SendResponse;
  std::function<Result<void>(const HttpResponseHead &)> BeginStream;
  std::function<Result<void>(std::string_view Bytes)> SendChunk;
  /// Marks the end of a whole stream.
  std::function<Result<void>()> EndStream;
  /// Ends a stream so that it cannot pass for a whole one.
  std::function<void()> AbortStream;
};

struct RelayHooks {
  Runtime Tasks;

  /// Connects to a target and sends it the call. NetError::ConnectFailed proves
  /// that no byte was sent.
  std::function<Result<TargetExchange>(
      const ListedTarget &Target, const RelayCall &Call,
      const HttpRequestHead &Head, const CallerHooks &Caller,
      TimePoint Deadline)>
      Open;

  /// Writes the head of the call for a target: what is the caller's to set
  /// stays as it came. \p ResumeAfter is the last event that the caller has.
  std::function<HttpRequestHead(const RelayCall &Call,
                                const ListedTarget &Target, Duration TimeLeft,
                                std::optional<std::uint64_t> ResumeAfter)>
      MakeHead;

  std::function<ResponseVerdict(const HttpResponseHead &Head,
                                const RelayCall &Call)>
      Classify;

  /// Sets the head of a refusal: the text for people, and the time after which
  /// to come back where there is one.
  std::function<HttpResponseHead(unsigned Status, const RelayCall &Call,
                                 std::optional<Duration> RetryAfter)>
      MakeRefusal;
};

} // namespace bergamothook

#endif
