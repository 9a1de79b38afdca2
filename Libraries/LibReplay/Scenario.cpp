#include "LibReplay/Scenario.h"

#include <array>

namespace bergamothook {

namespace {

constexpr std::array<const char *, 2> RequestKindNames{"order", "stream"};

constexpr std::array<const char *, StepCount> StepNames{
    "admit",       "reserve",    "claim", "choose", "connect", "sent",
    "first-chunk", "mid-stream", "end",   "settle", "answer"};

constexpr std::array<const char *, FaultKindCount> FaultNames{
    "target-crash",       "target-refusal",
    "target-silence",     "target-slow",
    "late-answer",        "router-death",
    "router-pause",       "router-stop",
    "caller-hang-up",     "retry-elsewhere",
    "append-lost-before", "append-lost-after",
    "log-slow",           "log-out",
    "partition"};

constexpr std::array<Outcome, 4> Outcomes{
    Outcome::Done, Outcome::NotRun, Outcome::Unknown, Outcome::InProgress};

template <typename Enum, std::size_t Count>
std::optional<Enum> find(const std::array<const char *, Count> &Names,
                         const std::string &Name) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Name == Names[Index])
      return static_cast<Enum>(Index);
  return std::nullopt;
}

} // namespace

const char *nameOf(RequestKind Value) {
  return RequestKindNames[static_cast<std::size_t>(Value)];
}

const char *nameOf(Step Value) {
  return StepNames[static_cast<std::size_t>(Value)];
}

const char *nameOf(FaultKind Value) {
  return FaultNames[static_cast<std::size_t>(Value)];
}

std::optional<RequestKind> requestKindOf(const std::string &Name) {
  return find<RequestKind>(RequestKindNames, Name);
}

std::optional<Step> stepOf(const std::string &Name) {
  return find<Step>(StepNames, Name);
}

std::optional<FaultKind> faultKindOf(const std::string &Name) {
  return find<FaultKind>(FaultNames, Name);
}

std::optional<Outcome> outcomeOf(const std::string &Name) {
  for (Outcome Value : Outcomes)
    if (Name == nameOf(Value))
      return Value;
  return std::nullopt;
}

} // namespace bergamothook
