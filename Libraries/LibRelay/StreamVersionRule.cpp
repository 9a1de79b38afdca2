#include "LibRelay/StreamVersionRule.h"

#include <algorithm>

namespace bergamothook::detail {

bool StreamVersionRule::resolve(const std::string &ServiceOfCall,
                                TimePoint Deadline,
                                const std::function<bool()> &HasLeft) {
  this->Service = ServiceOfCall;
  this->Stream = streamIdOf(this->Call.Team ? this->Call.Team->Name : "",
                            this->Service, this->Call.streamAttempt());
  if (!this->IsResumable || !this->Call.isResumption())
    return true;
  OriginDecision Decision = this->Dispatcher.origins().resolve(
      this->Service, this->Stream, this->Call.ArrivedAt, Deadline, HasLeft);
  this->Version = Decision.Version;
  const char *Found = !this->Version     ? "unknown"
                      : this->hasMatch() ? "served"
                                         : "not_served";
  this->Dispatcher.stats().count("relay_streams_resumed_total{version=\"" +
                                 std::string(Found) + "\",basis=\"" +
                                 nameOf(Decision.Basis) + "\"}");
  return this->Version.has_value();
}

bool StreamVersionRule::hasMatch() const {
  auto Usable = this->Dispatcher.targets().usable(this->Service);
  return std::any_of(Usable.begin(), Usable.end(),
                     [this](const TargetState *Target) {
                       return this->match(*Target) != VersionMatch::No;
                     });
}

VersionMatch StreamVersionRule::match(const TargetState &Target) const {
  if (!this->IsResumable)
    return VersionMatch::Yes;
  const VersionRegister &Versions = this->Dispatcher.versions();
  const std::string &Listed = Target.Listed.Version;
  if (!this->Version)
    return Versions.mayBegin(this->Service, Listed) ? VersionMatch::Yes
                                                    : VersionMatch::NotYet;
  if (versionIdOf(Listed) != *this->Version)
    return VersionMatch::No;
  bool MayBeOther = !Target.isRunConfirmed() && Versions.isMixed(this->Service);
  return MayBeOther ? VersionMatch::NotYet : VersionMatch::Yes;
}
RunCheck StreamVersionRule::checkRun(const ListedTarget &Target,
                                     Duration ConnectedFor,
                                     TimePoint Now) const {
  const VersionRegister &Versions = this->Dispatcher.versions();
  if (!this->IsResumable || Versions.coversConnection(Now - ConnectedFor))
    return RunCheck::None;
  const TargetState *State = this->Dispatcher.targets().find(Target.Id);
  bool IsListRelied =
      State && State->isRunConfirmed() && Versions.isListRecent(Now);
  if (this->Version)
    return IsListRelied && !Versions.isMixed(this->Service)
               ? RunCheck::None
               : RunCheck::OnlyListed;
  // A stream that begins at another version than the listed one can be joined
  // only if it breaks as well.
  return IsListRelied ? RunCheck::None : RunCheck::UnlessOther;
}

void StreamVersionRule::onFirstEvent(const ListedTarget &Target) {
  if (this->IsResumable && !this->Version)
    this->setVersion(versionIdOf(Target.Version));
}

void StreamVersionRule::setVersion(VersionId Next) {
  if (this->Version == Next)
    return;
  this->Version = Next;
  // Without an identifier, no caller can resume the stream.
  if (!this->Call.Id.empty())
    this->Dispatcher.origins().onBegun(this->Service, {this->Stream, Next});
}

bool StreamVersionRule::isOtherVersion(const ListedTarget &Target) const {
  if (!this->IsResumable)
    return false;
  const TargetState *State = this->Dispatcher.targets().find(Target.Id);
  return State && State->Listed.Version != Target.Version;
}

} // namespace bergamothook::detail
