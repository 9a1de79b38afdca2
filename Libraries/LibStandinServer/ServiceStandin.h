/// \file
/// Simulates an order runner or a plain service over HTTP. Every path runs a
/// call, except for /healthz, /faults and
///
///     GET /ledger   -> {"runs": [{"request", "attempt", "fencing_number",
///                                 "method", "path", "body"}, ...]}

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_SERVICESTANDIN_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_SERVICESTANDIN_H

#include "LibStandin/RecordedService.h"
#include "LibStandinServer/StandinResponses.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

class ServiceStandin {
public:
  ServiceStandin(bool ChecksFence, Runtime Tasks);
  ServiceStandin(const ServiceStandin &) = delete;
  ServiceStandin &operator=(const ServiceStandin &) = delete;

  void serve(const HttpRequest &Request, HttpReply Reply);

  RecordedService Service;
  FaultTable Faults;

private:
  void run(const HttpRequest &Request, HttpReply &Reply);
  void stall(HttpReply &Reply);
  nlohmann::json ledgerJson() const;

  Runtime Tasks;
  Duration Latency = Duration::zero();
  bool IsLeaving = false;
  std::uint32_t RefuseNext = 0;
  std::uint32_t StallAfterEffectNext = 0;
  std::uint32_t DropResponseNext = 0;
  std::uint32_t DropRequestNext = 0;
  std::uint32_t FailNext = 0;
};

} // namespace bergamothook

#endif
