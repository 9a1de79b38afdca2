#include "Publishing.h"

#include "LibStream/StreamAppender.h"
#include "LibStream/StreamFollower.h"

#include <random>

namespace bergamothook {

namespace {

constexpr Duration PublishTimeout = std::chrono::seconds(30);
constexpr std::size_t EntriesPerRead = 1000;
/// Beyond the end of any stream; reading there tells only where the end is.
constexpr Offset BeyondEnd{std::uint64_t{1} << 62};

std::uint64_t randomNumber() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

Result<Offset> endOf(CommandContext &Context, const std::string &Stream) {
  BOOST_OUTCOME_TRY(Page,
                    Context.Log.Read(Stream, BeyondEnd, 1, Duration::zero()));
  return Page.Next;
}

} // namespace

Incarnation writerOf(const CommandContext &Context) {
  static const std::uint64_t Run = randomNumber();
  return {idOfName<HostId>("operator/" + Context.Operator), Run};
}

RecordId makeRecordId() { return {randomNumber(), randomNumber()}; }

Result<RecordPosition>
publishRecord(CommandContext &Context, const std::string &Stream,
              StreamRecord Record, Offset From,
              std::function<void(const StreamRecord &, RecordPosition)> Seen) {
  StreamAppenderLimits Limits;
  Limits.BatchInterval = Duration::zero();
  // The tasks may outlast this call, so that they own what they use.
  auto Appender = std::make_shared<StreamAppender>(
      Stream, Context.Log, Context.Tasks, Limits, randomNumber());
  StreamFollowerHooks Hooks;
  Hooks.Apply = [Appender, Seen](const StreamRecord &Read, RecordPosition At) {
    Seen(Read, At);
    Appender->confirm(Read.Id, At);
  };
  Hooks.Skip = [](const LogEntry &, std::error_code) {};
  Hooks.Recover = []() -> Result<Offset> { return LogError::BelowRetention; };
  auto Follower = std::make_shared<StreamFollower>(
      Stream, From, Context.Log, Context.Tasks, Hooks, StreamFollowerLimits{},
      randomNumber());
  Context.Tasks.Spawn([Appender] { Appender->run(); });
  Context.Tasks.Spawn([Follower] { Follower->run(); });
  auto Position = Appender->submitAndWait(std::move(Record),
                                          Context.Tasks.Now() + PublishTimeout);
  Appender->stop(Context.Tasks.Now());
  Follower->stop();
  return Position;
}

Result<RecordPosition> publishRecord(CommandContext &Context,
                                     const std::string &Stream,
                                     StreamRecord Record) {
  BOOST_OUTCOME_TRY(End, endOf(Context, Stream));
  return publishRecord(Context, Stream, std::move(Record), End,
                       [](const StreamRecord &, RecordPosition) {});
}

Result<Offset> readStream(
    CommandContext &Context, const std::string &Stream, Offset From,
    const std::function<void(const StreamRecord &, RecordPosition)> &Seen) {
  StreamFollowerHooks Hooks;
  Hooks.Apply = Seen;
  Hooks.Skip = [&Context](const LogEntry &Entry, std::error_code Reason) {
    Context.Err << "offset " << Entry.At.Value << ": " << Reason.message()
                << "\n";
  };
  Hooks.Recover = []() -> Result<Offset> { return LogError::BelowRetention; };
  StreamFollowerLimits Limits;
  Limits.MaxEntriesPerRead = EntriesPerRead;
  StreamFollower Follower(Stream, From, Context.Log, Context.Tasks, Hooks,
                          Limits, randomNumber());
  while (!Follower.hasCaughtUp()) {
    BOOST_OUTCOME_TRYV(Follower.step(Duration::zero()));
  }
  return Follower.next();
}

} // namespace bergamothook
