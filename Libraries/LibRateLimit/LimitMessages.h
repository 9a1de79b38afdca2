/// \file
/// Messages between hosts about the limits of targets. Every message may be
/// lost, delayed or duplicated.

#ifndef BERGAMOTHOOK_LIBRATELIMIT_LIMITMESSAGES_H
#define BERGAMOTHOOK_LIBRATELIMIT_LIMITMESSAGES_H

#include "LibPeer/PeerSessionManager.h"
#include "LibRateLimit/ColdLimit.h"
#include "LibRateLimit/StatedLimit.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

/// Message kinds in the protocol between hosts.
enum class LimitMessageKind : std::uint16_t {
  PermitRequest = FirstMessageKind + 96,
  PermitResponse,
  ShareRequest,
  ShareLease,
  ShareRelease,
  ColdNotice,
};

/// Maximum length in bytes of the key of a target in a message.
constexpr std::size_t MaxTargetKey = 512;

/// A limit and the age of the observation, since hosts have no common clock.
struct LimitUpdate {
  bool IsLimited = false;
  double PerSecond = 0;
  std::uint64_t AgeMicroseconds = 0;

  static LimitUpdate of(const LimitObservation &Observed, TimePoint Now) {
    auto Age = std::chrono::duration_cast<std::chrono::microseconds>(
        std::max(Duration::zero(), Now - Observed.At));
    return {Observed.PerSecond.has_value(), Observed.PerSecond.value_or(0),
            static_cast<std::uint64_t>(Age.count())};
  }

  LimitObservation observedBefore(TimePoint Now) const {
    return {this->IsLimited ? std::optional(this->PerSecond) : std::nullopt,
            Now - std::chrono::microseconds(this->AgeMicroseconds)};
  }

  bool isValid() const {
    constexpr std::uint64_t MaxAgeMicroseconds = std::uint64_t{1} << 52;
    return std::isfinite(this->PerSecond) && this->PerSecond >= 0 &&
           this->AgeMicroseconds < MaxAgeMicroseconds;
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->IsLimited, this->PerSecond, this->AgeMicroseconds);
  }
};

/// Requests a permit to send one request from the home of a limit.
struct PermitRequest {
  std::uint64_t Number = 0;
  std::string Target;
  LimitUpdate Update;

  bool isValid() const {
    return this->Target.size() <= MaxTargetKey && this->Update.isValid();
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Target, this->Update);
  }
};

enum class PermitStatus : std::uint8_t {
  Granted,
  /// The limit is used up.
  Refused,
  /// Another host is the home of this limit.
  NotHome,
  /// The host is stopping.
  Leaving,
};

struct PermitResponse {
  std::uint64_t Number = 0;
  PermitStatus Status = PermitStatus::Refused;
  /// The fields of PermitRefusal.
  std::uint64_t RetryAfterMicroseconds = 0;
  std::uint64_t NextRequestMicroseconds = 0;
  std::uint64_t ReturnIntervalMicroseconds = 0;
  LimitUpdate Update;

  bool isValid() const {
    constexpr std::uint64_t MaxPauseMicroseconds = 3'600'000'000;
    return this->Status <= PermitStatus::Leaving &&
           this->RetryAfterMicroseconds <= MaxPauseMicroseconds &&
           this->NextRequestMicroseconds <= MaxPauseMicroseconds &&
           this->ReturnIntervalMicroseconds <= MaxPauseMicroseconds &&
           this->Update.isValid();
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Status, this->RetryAfterMicroseconds,
       this->NextRequestMicroseconds, this->ReturnIntervalMicroseconds,
       this->Update);
  }
};

/// Tells a host of a limit, and requests its share if it has one.
struct ShareRequest {
  std::uint64_t Round = 0;
  std::string Target;
  LimitUpdate Update;

  bool isValid() const {
    return this->Target.size() <= MaxTargetKey && this->Update.isValid();
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Round, this->Target, this->Update);
  }
};

/// Leases a share in answer to a ShareRequest, or only tells a newer limit.
struct ShareLease {
  std::uint64_t Round = 0;
  std::string Target;
  bool IsLeased = false;
  /// The number of shares as the holder counts them.
  std::uint32_t Holders = 1;
  LimitUpdate Update;

  bool isValid() const {
    return this->Target.size() <= MaxTargetKey && this->Holders > 0 &&
           this->Update.isValid();
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Round, this->Target, this->IsLeased, this->Holders, this->Update);
  }
};

/// Ends a lease early, unless it was renewed after \p Round.
struct ShareRelease {
  std::uint64_t Round = 0;
  std::string Target;

  bool isValid() const { return this->Target.size() <= MaxTargetKey; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Round, this->Target);
  }
};

/// Tells a host of a target that is cold. Sent with the requests for the leases
/// and permits of its limit.
struct ColdNotice {
  /// Identifies one run of the target.
  std::string RunKey;
  std::uint64_t LeftMicroseconds = 0;
  std::uint64_t Sequence = 0;

  static ColdNotice of(const ColdReport &Report) {
    auto Left =
        std::chrono::duration_cast<std::chrono::microseconds>(Report.Left);
    return {Report.RunKey,
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, Left.count())),
            Report.Sequence};
  }

  ColdReport report() const {
    return {this->RunKey, std::chrono::microseconds(this->LeftMicroseconds),
            this->Sequence, true};
  }

  bool isValid() const {
    constexpr std::uint64_t MaxLeftMicroseconds = 86'400'000'000;
    return this->RunKey.size() <= MaxTargetKey &&
           this->LeftMicroseconds <= MaxLeftMicroseconds;
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->RunKey, this->LeftMicroseconds, this->Sequence);
  }
};

} // namespace bergamothook

#endif
