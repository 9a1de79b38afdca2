/// \file
/// Stops sending requests that crash the targets that execute them. The losses
/// are counted across all processes of the fleet.

#ifndef BERGAMOTHOOK_LIBRELAY_REQUESTQUARANTINE_H
#define BERGAMOTHOOK_LIBRELAY_REQUESTQUARANTINE_H

#include "LibBase/Hash.h"
#include "LibBase/Time.h"

#include <map>
#include <string>
#include <vector>

namespace bergamothook {

/// The losses of one process for one request, as published to the other
/// processes. A request is identified by the hash of its content.
struct QuarantineReport {
  Hash128 Content;
  std::string Process;
  /// The targets lost while they executed the request; 0 retracts the report.
  unsigned Losses = 0;

  bool operator==(const QuarantineReport &) const = default;
};

struct QuarantinePolicy {
  /// The losses without an answer in between after which a request is no longer
  /// sent. The number has to tell a request that crashes its targets from
  /// targets that crash for other reasons.
  unsigned MaxLosses = 3;
  /// How long a request is remembered after its last loss. By then a caller
  /// that retries automatically has given up.
  Duration Retention = std::chrono::minutes(5);
  /// This many targets lost within the window indicate a failure of machines or
  /// of the network, not of a request.
  std::size_t MassFailureTargets = 4;
  Duration MassFailureWindow = std::chrono::seconds(5);
  /// Bounds the memory use; while the table is full, no further requests are
  /// tracked.
  std::size_t MaxContents = 10'000;
};

/// Counts the targets that were lost before the first byte of an answer. An
/// answer clears the losses of its request, so that a popular request is not
/// blamed for targets that crash for other reasons.
class RequestQuarantine {
public:
  RequestQuarantine(std::string Self, QuarantinePolicy Policy);

  /// Tells whether the request with the hash \p Content may be sent to a
  /// target.
  bool maySend(Hash128 Content, TimePoint Now) const;

  /// Records the loss of \p Target, which had started to execute \p Content.
  /// \returns whether the loss was counted.
  bool onLost(Hash128 Content, const std::string &Target, TimePoint Now);

  /// Records an answer to \p Content, which clears its losses.
  void onAnswered(Hash128 Content);

  /// Applies a report read from the log. An outdated report of this process, as
  /// from an append that timed out and took effect late, is published again
  /// with the present count.
  void onReport(const QuarantineReport &Report, TimePoint Now);

  /// Removes entries that are older than the retention time.
  void expire(TimePoint Now);

  /// Removes and returns the reports to publish to the other processes.
  std::vector<QuarantineReport> takePendingReports();

  std::size_t size() const { return this->Entries.size(); }

private:
  struct LossRecord {
    std::map<std::string, unsigned> LossesByProcess;
    TimePoint LastLoss{};
  };

  bool isMassFailure(const std::string &Target, TimePoint Now);
  void republishOwn(const QuarantineReport &Report);
  void retract(Hash128 Content, const LossRecord &Entry);

  std::string Self;
  QuarantinePolicy Policy;
  std::map<Hash128, LossRecord> Entries;
  std::map<std::string, TimePoint> LostTargets;
  std::map<std::pair<Hash128, std::string>, unsigned> PendingReports;
};

} // namespace bergamothook

#endif
