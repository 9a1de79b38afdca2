/// \file
/// Loan returns of a borrower that the lender has not acknowledged yet.

#ifndef BERGAMOTHOOK_LIBLOAN_RETURNQUEUE_H
#define BERGAMOTHOOK_LIBLOAN_RETURNQUEUE_H

#include "LibBase/Time.h"
#include "LibLoan/LoanMessages.h"

#include <map>
#include <vector>

namespace bergamothook {

struct ReturnPolicy {
  Duration InitialRetryDelay = std::chrono::milliseconds(100);
  Duration MaxRetryDelay = std::chrono::seconds(3);
  /// How long a return is retried. After that, its tokens count as spent.
  Duration Lifetime = std::chrono::minutes(2);
  /// Maximum number of queued returns; further ones are sent only once.
  std::size_t MaxPending = 20'000;
};

/// A return that is due to be sent.
struct DueReturn {
  HostId Lender;
  LoanReturn Message;
};

class ReturnQueue {
public:
  explicit ReturnQueue(ReturnPolicy Policy) : Policy(Policy) {}

  /// Queues a return that is being sent for the first time.
  void add(HostId Lender, const LoanReturn &Message, TimePoint Now);

  /// Removes the return \p Number, which the lender \p From acknowledged.
  void onAck(HostId From, std::uint64_t Number);

  /// \returns the returns that are due for a retry, and schedules their next
  /// one.
  std::vector<DueReturn> takeDue(TimePoint Now);

  /// \returns when the next return is due; TimePoint::max() if none is pending.
  TimePoint nextDue() const;

  std::size_t pending() const { return this->Pending.size(); }
  /// \returns the number of returns dropped without an acknowledgement.
  std::uint64_t abandoned() const { return this->Abandoned; }

private:
  struct Entry {
    DueReturn Return;
    TimePoint NextAttempt{};
    TimePoint ExpiresAt{};
    Duration RetryDelay{};
  };

  ReturnPolicy Policy;
  std::map<std::uint64_t, Entry> Pending;
  std::uint64_t Abandoned = 0;
};

} // namespace bergamothook

#endif
