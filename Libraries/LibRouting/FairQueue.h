/// \file
/// A weighted fair queue between teams (start-time fair queueing): a team that
/// sends a burst delays its own requests, not those of other teams.

#ifndef BERGAMOTHOOK_LIBROUTING_FAIRQUEUE_H
#define BERGAMOTHOOK_LIBROUTING_FAIRQUEUE_H

#include "LibBase/Ids.h"
#include "LibRouting/Ticket.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace bergamothook {

/// A queued request.
struct QueuedWork {
  TicketId Ticket;
  TeamId Team;
  /// The team's weight, above 0.
  double Weight = 1;
  /// The cost of the request in tokens.
  double Cost = 0;
};

/// The queue of one priority and class. Not thread-safe.
class FairQueue {
public:
  void push(const QueuedWork &Work);

  /// Returns the next request without removing it.
  std::optional<QueuedWork> front() const;

  /// Removes the next request. The queue must not be empty.
  QueuedWork pop();

  /// Removes a request from any position. \returns false if it is not queued.
  bool remove(const QueuedWork &Work);

  /// Returns the newest request of the team with the highest weighted cost.
  std::optional<QueuedWork> newestOfLargestTeam() const;

  /// Returns the queued cost of \p Team divided by its weight.
  double weightedCost(TeamId Team) const;

  /// Estimates the cost that is served until a new request is done, including
  /// its own.
  double costUntilDone(const QueuedWork &Work) const;

  bool empty() const { return this->TeamsByStart.empty(); }
  std::size_t size() const { return this->Count; }
  double cost() const { return this->Cost; }

private:
  struct TeamQueue {
    std::deque<QueuedWork> Items;
    double Weight = 1;
    double Cost = 0;
    /// The virtual start time of the team's first request.
    double VirtualStart = 0;
  };

  void removeTeamIfEmpty(TeamId Team);
  void adjustCost(double Delta);

  std::unordered_map<TeamId, TeamQueue> Teams;
  /// The teams with waiting requests, by the virtual start time of the first.
  std::set<std::pair<double, TeamId>> TeamsByStart;
  double VirtualTime = 0;
  double Cost = 0;
  double TotalWeight = 0;
  std::size_t Count = 0;
};

} // namespace bergamothook

#endif
