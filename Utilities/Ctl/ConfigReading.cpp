#include "ConfigReading.h"

#include "LibConfig/ConfigLogReader.h"
#include "LibConfig/ConfigSnapshotLog.h"
#include "Publishing.h"

namespace bergamothook {

namespace {

Result<PublishedConfig> readFromLog(CommandContext &Context) {
  PublishedConfig Known;
  BOOST_OUTCOME_TRY(
      Next, readStream(Context, ConfigStream, Offset{0},
                       [&Known](const StreamRecord &Record, RecordPosition At) {
                         Known.Fold.apply(Record, At);
                       }));
  Known.Next = Next;
  return Known;
}

/// Reads the newest state on the log, and what came after it. For a log that
/// has dropped the first changes.
Result<PublishedConfig> readFromSnapshot(CommandContext &Context) {
  ConfigReplica Replica;
  ConfigSnapshotLog Saved(Context.Log, Context.Tasks, writerOf(Context));
  BOOST_OUTCOME_TRY(HasState, Saved.load(Replica));
  if (!HasState)
    return LogError::BelowRetention;
  ConfigLogReader Reader(Replica, Context.Log, {});
  BOOST_OUTCOME_TRYV(Reader.readToEnd());
  return PublishedConfig{Replica.fold(), Replica.position().Next};
}

} // namespace

std::optional<PublishedConfig> readConfig(CommandContext &Context) {
  auto Known = readFromLog(Context);
  if (!Known && Known.error() == LogError::BelowRetention)
    Known = readFromSnapshot(Context);
  if (!Known) {
    Context.Err << "cannot read the configuration: " << Known.error().message()
                << "\n";
    return std::nullopt;
  }
  return std::move(Known.value());
}

Result<ConfigVerdict> publishChange(CommandContext &Context,
                                    PublishedConfig &Known,
                                    const ConfigChange &Change) {
  std::optional<ConfigVerdict> Verdict;
  BOOST_OUTCOME_TRYV(publishRecord(
      Context, ConfigStream, recordOfChange(Change, writerOf(Context)),
      Known.Next, [&](const StreamRecord &Record, RecordPosition At) {
        auto Folded = Known.Fold.apply(Record, At);
        if (Record.Id == Change.Id && !Verdict)
          Verdict = Folded;
      }));
  if (!Verdict)
    return StreamError::NotConfirmed;
  return *Verdict;
}

void printExplained(CommandContext &Context, const ResolvedSettings &Resolved) {
  for (const auto &[Pointer, Source] : Resolved.Sources) {
    nlohmann::json::json_pointer Place(Pointer);
    if (!Resolved.Settings.contains(Place))
      continue;
    std::string From = Source.Object
                           ? toString(*Source.Object) + " at " + Source.Pointer
                           : "built-in default";
    Context.Out << Pointer << " = " << Resolved.Settings.at(Place).dump()
                << "   from " << From << "\n";
  }
}

} // namespace bergamothook
