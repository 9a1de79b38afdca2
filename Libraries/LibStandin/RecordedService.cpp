#include "LibStandin/RecordedService.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

Result<ServiceAnswer> RecordedService::run(const ServiceCall &Call) {
  std::uint64_t &Highest = this->HighestFence[Call.Request];
  if (this->ChecksFence && Call.FencingNumber < Highest)
    return TargetError::StaleFencingNumber;
  Highest = std::max(Highest, Call.FencingNumber);
  this->Runs.push_back({Call.Request, Call.Attempt, Call.FencingNumber,
                        Call.Method, Call.Path, Call.Body});
  nlohmann::json Body{{"request", toHex(Call.Request)},
                      {"run", this->Runs.size()},
                      {"path", Call.Path},
                      {"done", true}};
  return ServiceAnswer{200, "application/json", Body.dump()};
}

std::size_t RecordedService::timesRun(RequestId Request) const {
  return static_cast<std::size_t>(std::count_if(
      this->Runs.begin(), this->Runs.end(),
      [&](const ServiceRun &Run) { return Run.Request == Request; }));
}

} // namespace bergamothook
