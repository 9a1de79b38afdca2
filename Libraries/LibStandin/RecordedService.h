/// \file
/// An order runner or plain service that records the calls it ran.

#ifndef BERGAMOTHOOK_LIBSTANDIN_RECORDEDSERVICE_H
#define BERGAMOTHOOK_LIBSTANDIN_RECORDEDSERVICE_H

#include "LibTarget/ServiceHooks.h"

#include <map>
#include <vector>

namespace bergamothook {

/// One call that ran.
struct ServiceRun {
  RequestId Request;
  AttemptNumber Attempt;
  std::uint64_t FencingNumber = 0;
  std::string Method;
  std::string Path;
  std::string Body;
};

/// Runs every call it is given and records it, including a repeat of an earlier
/// call: deduplicating orders is the router's task.
class RecordedService {
public:
  /// \p ChecksFence sets whether calls with a stale fencing number are refused.
  explicit RecordedService(bool ChecksFence) : ChecksFence(ChecksFence) {}

  /// Runs \p Call. Errors: StaleFencingNumber when a call of the same request
  /// with a higher fencing number ran before.
  Result<ServiceAnswer> run(const ServiceCall &Call);

  const std::vector<ServiceRun> &ledger() const { return this->Runs; }

  /// \returns how often \p Request ran.
  std::size_t timesRun(RequestId Request) const;

private:
  bool ChecksFence;
  std::map<RequestId, std::uint64_t> HighestFence;
  std::vector<ServiceRun> Runs;
};

} // namespace bergamothook

#endif
