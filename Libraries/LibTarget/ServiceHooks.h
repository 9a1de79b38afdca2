/// \file
/// The interface to services and order runners.

#ifndef BERGAMOTHOOK_LIBTARGET_SERVICEHOOKS_H
#define BERGAMOTHOOK_LIBTARGET_SERVICEHOOKS_H

#include "LibTarget/EngineHooks.h"

namespace bergamothook {

/// A call to a service.
struct ServiceCall {
  RequestId Request;
  AttemptNumber Attempt;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string ContentType;
  /// Increases with every dispatch of the same idempotency key; 0 if the call
  /// carries no fencing number.
  std::uint64_t FencingNumber = 0;
};

/// The response of a service.
struct ServiceAnswer {
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Calls to services. Each blocks the calling task until its deadline at the
/// latest.
struct ServiceHooks {
  std::function<Result<ServiceAnswer>(const TargetAddress &,
                                      const ServiceCall &, TimePoint Deadline)>
      Call;
};

} // namespace bergamothook

#endif
