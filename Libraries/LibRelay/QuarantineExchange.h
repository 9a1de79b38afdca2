/// \file
/// Distributes the reports of RequestQuarantine to the other processes: through
/// the log, which processes that start later read too, and through messages
/// between hosts, which need no log.

#ifndef BERGAMOTHOOK_LIBRELAY_QUARANTINEEXCHANGE_H
#define BERGAMOTHOOK_LIBRELAY_QUARANTINEEXCHANGE_H

#include "LibLoan/HostRoster.h"
#include "LibPeer/PeerNode.h"
#include "LibRelay/RequestQuarantine.h"

namespace bergamothook {

struct QuarantineExchangeHooks {
  std::function<TimePoint()> Now;
  std::function<void(HostId To, std::uint16_t Kind, std::string_view Body)>
      Send;
  std::function<void(std::uint16_t Kind, PeerNode::Handler Callback)>
      SetHandler;
};

class QuarantineExchange {
public:
  QuarantineExchange(RequestQuarantine &List, HostRoster &Roster,
                     QuarantineExchangeHooks Hooks);

  /// Decides on what was reported, and sends pending reports to the other
  /// hosts. Called at short intervals.
  void update();

  /// Removes and returns reports for the log.
  std::vector<QuarantineReport> takeForLog();

  /// Queues the report of each trait in quarantine for the log, which has lost
  /// them.
  void repeatQuarantined();

  RequestQuarantine &list() { return this->List; }

private:
  struct QueuedReport {
    QuarantineReport Report;
    TimePoint QueuedAt{};
    unsigned SendsLeft = 1;

    /// \returns the report with its ages at \p Now.
    QuarantineReport at(TimePoint Now) const;
  };

  void sendQueued(TimePoint Now);

  RequestQuarantine &List;
  HostRoster &Roster;
  QuarantineExchangeHooks Hooks;
  std::deque<QueuedReport> ForHosts;
  std::deque<QueuedReport> ForLog;
};

} // namespace bergamothook

#endif
