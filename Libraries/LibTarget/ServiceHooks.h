/// \file
/// A plain service or an order runner as the rest of the system sees it.

#ifndef BERGAMOTHOOK_LIBTARGET_SERVICEHOOKS_H
#define BERGAMOTHOOK_LIBTARGET_SERVICEHOOKS_H

#include "LibTarget/EngineHooks.h"

namespace bergamothook {

/// One call of a service.
struct ServiceCall {
  RequestId Request;
  AttemptNumber Attempt;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string ContentType;
  /// Grows with every dispatch of the same key; 0 where the call carries none.
  std::uint64_t FencingNumber = 0;
};

/// The answer of a service.
struct ServiceAnswer {
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Calls of services. Each blocks the calling task, at most until its deadline.
struct ServiceHooks {
  std::function<Result<ServiceAnswer>(const TargetAddress &,
                                      const ServiceCall &, TimePoint Deadline)>
      Call;
};

} // namespace bergamothook

#endif
