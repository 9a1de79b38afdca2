/// \file
/// How old a host's view of the configuration is.

#ifndef BERGAMOTHOOK_LIBRELAY_CONFIGVIEW_H
#define BERGAMOTHOOK_LIBRELAY_CONFIGVIEW_H

#include "LibBase/Time.h"
#include "LibRelay/RelayConfig.h"

#include <optional>
#include <utility>

namespace bergamothook {

/// The version under which a call is decoded; null before the first one. Unless
/// it is current, a later version may have added what it lacks.
struct ConfigInForce {
  ConfigInForce(RelayConfigPtr Config, bool IsCurrent = true,
                bool AcceptsKeys = true)
      : Config(std::move(Config)), IsCurrent(IsCurrent),
        AcceptsKeys(AcceptsKeys) {}

  RelayConfigPtr Config;
  bool IsCurrent;
  /// Unset if a key may have been revoked too long ago to be accepted.
  bool AcceptsKeys;
};

struct ConfigViewPolicy {
  /// Accepted versions have to be in force everywhere within this time.
  Duration MaxAge{};
  /// How old a view may be by which keys are accepted; nothing if keys are
  /// accepted by a view of any age.
  std::optional<Duration> MaxKeyAge = {};
};

/// Tells whether the version in force may be taken for the newest one. A
/// version that can't be read is not in force and makes the view age. All times
/// are of one clock that counts while the machine is suspended.
class ConfigView {
public:
  explicit ConfigView(ConfigViewPolicy Policy) : Policy(Policy) {}

  /// The newest of the versions received can, or can't, be read.
  void onNewest(bool IsReadable) { this->IsNewestReadable = IsReadable; }

  /// All versions that were accepted before \p AsOf have been received.
  void onCurrent(TimePoint AsOf);

  bool isNewestReadable() const { return this->IsNewestReadable; }

  /// \returns whether every version that has to be in force at \p Now has been
  /// received, be it readable or not.
  bool hasReceived(TimePoint Now) const;

  /// \returns the age of the view; nothing before the first.
  std::optional<Duration> age(TimePoint Now) const;

  /// \returns whether every version that has to be in force at \p Now is.
  bool isCurrent(TimePoint Now) const;

  /// \returns whether keys may be accepted.
  bool acceptsKeys(TimePoint Now) const;

  /// \returns whether isCurrent() has changed since the last call, once there
  /// is a view.
  bool hasChanged(TimePoint Now);

private:
  ConfigViewPolicy Policy;
  std::optional<TimePoint> ReceivedAsOf;
  std::optional<TimePoint> CurrentAsOf;
  bool IsNewestReadable = true;
  bool WasCurrent = true;
};

} // namespace bergamothook

#endif
