/// \file
/// What an order runner or a plain service ran, as it knows it itself.

#ifndef BERGAMOTHOOK_LIBSTANDIN_ORDERBOOK_H
#define BERGAMOTHOOK_LIBSTANDIN_ORDERBOOK_H

#include "LibTarget/ServiceHooks.h"

#include <map>
#include <vector>

namespace bergamothook {

/// One call that ran.
struct OrderRun {
  RequestId Request;
  AttemptNumber Attempt;
  std::uint64_t FencingNumber = 0;
  std::string Method;
  std::string Path;
  std::string Body;
};

/// The ledger of a service. It runs each call that it is given, also one that
/// it ran before: not doubling an order is the router's task.
class OrderBook {
public:
  /// \p ChecksFence tells whether calls with an old fencing number are refused.
  explicit OrderBook(bool ChecksFence) : ChecksFence(ChecksFence) {}

  /// Runs \p Call. TargetError::StaleFencingNumber where a call of the same
  /// request with a larger fencing number ran before.
  Result<ServiceAnswer> run(const ServiceCall &Call);

  const std::vector<OrderRun> &ledger() const { return this->Runs; }

  /// The times that \p Request ran.
  std::size_t timesRun(RequestId Request) const;

private:
  bool ChecksFence;
  std::map<RequestId, std::uint64_t> HighestFence;
  std::vector<OrderRun> Runs;
};

} // namespace bergamothook

#endif
