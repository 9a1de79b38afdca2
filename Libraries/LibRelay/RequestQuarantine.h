/// \file
/// Requests that crash the targets that run them, as the whole fleet knows
/// them.

#ifndef BERGAMOTHOOK_LIBRELAY_REQUESTQUARANTINE_H
#define BERGAMOTHOOK_LIBRELAY_REQUESTQUARANTINE_H

#include "LibBase/Hash.h"
#include "LibBase/Time.h"

#include <map>
#include <string>
#include <vector>

namespace bergamothook {

/// What one process tells the others about one content.
struct CrashReport {
  Hash128 Content;
  std::string Process;
  /// The targets that it lost under the content; 0 takes the note back.
  unsigned Losses = 0;

  bool operator==(const CrashReport &) const = default;
};

struct CrashPolicy {
  /// Losses without an answer between them after which a content is not sent
  /// any more: as many as tell a request that crashes its targets from
  /// targets that crash by themselves.
  unsigned MaxLosses = 3;
  /// How long a content is remembered after its last loss: a caller that
  /// repeats by itself has given up by then.
  Duration Memory = std::chrono::minutes(5);
  /// So many targets lost within the window are a failure of machines or of the
  /// network, not of a request.
  std::size_t MassTargets = 4;
  Duration MassWindow = std::chrono::seconds(5);
  /// Bounds the memory; later contents are not watched while it is full.
  std::size_t MaxContents = 10'000;
};

/// Counts the targets that were lost before the first byte of an answer. An
/// answer clears its content, so that a popular request is not blamed for
/// targets that die of something else.
class RequestQuarantine {
public:
  RequestQuarantine(std::string Self, CrashPolicy Policy);

  /// Tells whether \p Content may be sent to a target.
  bool maySend(Hash128 Content, TimePoint Now) const;

  /// Takes the loss of \p Target, which had begun to run \p Content.
  void onLost(Hash128 Content, const std::string &Target, TimePoint Now);

  /// Takes an answer to \p Content, which clears it.
  void onAnswered(Hash128 Content);

  /// Takes a note that was read. One of this process that is out of date, as
  /// when an append without an answer landed late, is written again.
  void onReport(const CrashReport &Note, TimePoint Now);

  /// Forgets what is too old.
  void expire(TimePoint Now);

  /// Gives what the other processes should hear, once.
  std::vector<CrashReport> takePendingReports();

  std::size_t size() const { return this->Known.size(); }

private:
  struct Watched {
    std::map<std::string, unsigned> LossesByProcess;
    TimePoint LastLoss{};
  };

  bool isMassFailure(const std::string &Target, TimePoint Now);
  void correctOwn(const CrashReport &Note);
  void takeBack(Hash128 Content, const Watched &Entry);

  std::string Self;
  CrashPolicy Policy;
  std::map<Hash128, Watched> Known;
  std::map<std::string, TimePoint> LostTargets;
  std::map<std::pair<Hash128, std::string>, unsigned> News;
};

} // namespace bergamothook

#endif
