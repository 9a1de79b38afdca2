#include "LibRateLimit/TargetLimiter.h"

#include "LibObserve/StructuredLog.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

constexpr Duration ReportInterval = std::chrono::seconds(4);

const char *nameOf(SendKind Kind) {
  switch (Kind) {
  case SendKind::First:
    return "first";
  case SendKind::Resend:
    return "resend";
  case SendKind::Resumption:
    return "resumption";
  }
  return "unknown";
}

nlohmann::json describeLimit(const StatedLimit &Limit) {
  if (Limit.perSecond())
    return *Limit.perSecond();
  return nullptr;
}

} // namespace

void TargetLimiter::onAnswer(const std::string &Key,
                             std::optional<double> PerSecond, TimePoint SentAt,
                             TimePoint Now) {
  auto Found = this->Targets.find(Key);
  if (Found == this->Targets.end()) {
    if (!PerSecond)
      return;
    Found = this->Targets.try_emplace(Key).first;
  }
  StatedLimit &Limit = Found->second.Limit;
  if (Limit.onAnswer(PerSecond, SentAt, Now))
    this->logChange(Key, Limit);
}

void TargetLimiter::onSend(const std::string &Key, SendKind Kind) {
  auto Found = this->Targets.find(Key);
  if (Found == this->Targets.end() || !Found->second.Limit.perSecond())
    return;
  ++Found->second.Sends[Kind];
  this->Stats.count(std::string("limited_target_sends_total{kind=\"") +
                    nameOf(Kind) + "\"}");
}

void TargetLimiter::reportUse(TimePoint Now) {
  if (Now < this->NextReport)
    return;
  this->NextReport = Now + ReportInterval;
  for (auto &[Key, Target] : this->Targets) {
    if (Target.Sends.empty())
      continue;
    nlohmann::json Fields{{"target", Key},
                          {"per_second", describeLimit(Target.Limit)}};
    for (const auto &[Kind, Count] : Target.Sends)
      Fields[nameOf(Kind)] = Count;
    Target.Sends.clear();
    logEvent(LogLevel::Info, "target_limit_use", Fields);
  }
}

std::optional<double> TargetLimiter::limitOf(const std::string &Key) const {
  auto Found = this->Targets.find(Key);
  return Found == this->Targets.end() ? std::nullopt
                                      : Found->second.Limit.perSecond();
}

std::size_t TargetLimiter::limitedTargets() const {
  return static_cast<std::size_t>(std::count_if(
      this->Targets.begin(), this->Targets.end(), [](const auto &Each) {
        return Each.second.Limit.perSecond().has_value();
      }));
}

void TargetLimiter::logChange(const std::string &Key,
                              const StatedLimit &Limit) const {
  logEvent(LogLevel::Warning, "target_limit_changed",
           {{"target", Key}, {"per_second", describeLimit(Limit)}});
}

} // namespace bergamothook
