/// \file
/// A queue that is fair by weight between teams (start-time fair queueing): a
/// team that sends a burst waits behind its own burst, not the others.

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

/// The place of one request in the queue.
struct QueuedWork {
  TicketId Ticket;
  TeamId Team;
  /// The team's weight, above 0.
  double Weight = 1;
  /// The work that the request brings, in tokens.
  double Cost = 0;
};

/// The queue of one priority and class. Not thread-safe.
class FairQueue {
public:
  void push(const QueuedWork &Work);

  /// Gives the request that goes next, without taking it out.
  std::optional<QueuedWork> front() const;

  /// Takes out the request that goes next. The queue is not empty.
  QueuedWork pop();

  /// Takes a request out of the middle. \returns false if it is not there.
  bool remove(const QueuedWork &Work);

  /// Gives the newest request of the team that holds most for its weight.
  std::optional<QueuedWork> newestOfLargestTeam() const;

  /// Gives the work of \p Team that waits, over its weight.
  double weightedCost(TeamId Team) const;

  /// Estimates the work that goes before a new request, itself included.
  double costUntilDone(const QueuedWork &Work) const;

  bool empty() const { return this->TeamsByStart.empty(); }
  std::size_t size() const { return this->Count; }
  double cost() const { return this->Cost; }

private:
  struct TeamQueue {
    std::deque<QueuedWork> Items;
    double Weight = 1;
    double Cost = 0;
    /// The virtual time at which the team's first request starts.
    double VirtualStart = 0;
  };

  void removeTeamIfEmpty(TeamId Team);
  void adjustCost(double Delta);

  std::unordered_map<TeamId, TeamQueue> Teams;
  /// The teams that wait, by the start of their first request.
  std::set<std::pair<double, TeamId>> TeamsByStart;
  double VirtualTime = 0;
  double Cost = 0;
  double TotalWeight = 0;
  std::size_t Count = 0;
};

} // namespace bergamothook

#endif
