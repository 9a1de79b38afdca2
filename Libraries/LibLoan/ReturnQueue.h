/// \file
/// Loans that a borrower gives back, until the lender says that it knows.

#ifndef BERGAMOTHOOK_LIBLOAN_RETURNQUEUE_H
#define BERGAMOTHOOK_LIBLOAN_RETURNQUEUE_H

#include "LibBase/Time.h"
#include "LibLoan/LoanMessages.h"

#include <map>
#include <vector>

namespace bergamothook {

struct ReturnPolicy {
  Duration FirstPause = std::chrono::milliseconds(100);
  Duration LongestPause = std::chrono::seconds(3);
  /// How long a return is repeated. After that its tokens count as spent.
  Duration Lifetime = std::chrono::minutes(2);
  /// Returns that wait at the most; further ones are sent once.
  std::size_t MaxWaiting = 20'000;
};

/// A return that is to be sent.
struct DueReturn {
  HostId Lender;
  LoanReturn Message;
};

class ReturnQueue {
public:
  explicit ReturnQueue(ReturnPolicy Policy) : Policy(Policy) {}

  /// Adds a return that is being sent for the first time.
  void add(HostId Lender, const LoanReturn &Message, TimePoint Now);

  /// The lender \p From knows of the return \p Number.
  void onReceipt(HostId From, std::uint64_t Number);

  /// Gives the returns that are to be repeated now.
  std::vector<DueReturn> takeDue(TimePoint Now);

  /// When the next return is due; TimePoint::max() when none waits.
  TimePoint nextDue() const;

  std::size_t waiting() const { return this->Waiting.size(); }
  /// Returns that no lender took.
  std::uint64_t givenUp() const { return this->GivenUp; }

private:
  struct Entry {
    DueReturn Return;
    TimePoint NextAt{};
    TimePoint EndsAt{};
    Duration Pause{};
  };

  ReturnPolicy Policy;
  std::map<std::uint64_t, Entry> Waiting;
  std::uint64_t GivenUp = 0;
};

} // namespace bergamothook

#endif
