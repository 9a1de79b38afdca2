/// \file
/// Keeps the requests of all hosts to a target within the rate limit that the
/// target states in its answers.
///
/// The limit is divided into equal shares, each held by one of a few hosts that
/// rendezvous hashing selects. The holders lease their shares for a short time
/// to the home of the limit, and the other hosts request a permit from it for
/// each request to the target. The home is the responsive host that ranks
/// first, or one that took its place when it did not answer. Hosts may disagree
/// on the home; since a holder leases its share to one host at a time, the
/// permits of all hosts together still stay within the limit. An idle host
/// costs no part of the limit, and a lost, suspended or disconnected holder
/// only its own share.

#ifndef BERGAMOTHOOK_LIBRATELIMIT_TARGETLIMITER_H
#define BERGAMOTHOOK_LIBRATELIMIT_TARGETLIMITER_H

#include "LibLoan/HostRoster.h"
#include "LibObserve/Metrics.h"
#include "LibPeer/PeerNode.h"
#include "LibRateLimit/LimitMessages.h"
#include "LibRateLimit/LimitPool.h"
#include "LibRateLimit/LimitShare.h"
#include "LibTask/Runtime.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamothook {

/// Why a request is sent to a target.
enum class SendKind {
  First,
  /// The request was sent to another target before.
  Resend,
  /// Continues a stream that was interrupted.
  Resumption,
};

struct LimiterPolicy {
  LimitPoolPolicy Pool;
  /// How long a holder leases its share for. Longer than the lessee uses it.
  Duration LeaseTime = std::chrono::milliseconds(3000);
  /// The number of shares of a limit, or of hosts if there are fewer.
  std::size_t Shares = 8;
  /// Time before an unanswered request for a permit is sent again.
  Duration RequestRetryInterval = std::chrono::milliseconds(40);
  /// Number of unanswered requests after which a host counts as silent.
  unsigned MaxRequestAttempts = 4;
  /// Number of homes from which one permit is requested while each is silent.
  unsigned MaxHomesTried = 2;
  /// Requests for permits of one target that wait for an answer.
  std::size_t MaxPendingRequests = 8;
};

struct LimiterHooks {
  Runtime Tasks;
  /// Like Tasks.Now, but counts the time during which the machine was
  /// suspended.
  std::function<TimePoint()> LeaseClock;
  /// Sends a message that may be lost.
  std::function<void(HostId To, std::uint16_t Kind, std::string_view Body)>
      Send;
  std::function<void(std::uint16_t Kind, PeerNode::Handler Callback)>
      SetHandler;
  /// Records that a host did not answer.
  std::function<void(HostId Host)> MarkSilent;
  /// \returns what this host knows of the cold period of one run of a target;
  /// nothing if it is warm.
  std::function<std::optional<ColdReport>(const std::string &RunKey)>
      DescribeCold = [](const std::string &) { return std::nullopt; };
  /// Handles what another host knows of a cold period.
  std::function<void(const ColdReport &Report)> OnCold =
      [](const ColdReport &) {};
};

struct PermitDecision {
  bool IsGranted = false;
  /// After a refusal, how long no permit of this target needs to be requested.
  Duration NextRequestAfter{};
  /// When the permit was requested, by LeaseClock.
  TimePoint RequestedAt{};
};

/// The limiter of one host. A target is addressed by the key of one run of its
/// process, since a restarted target states its limit anew. All calls must come
/// from tasks of one runtime.
class TargetLimiter {
public:
  TargetLimiter(LimiterPolicy Policy, LimiterHooks Hooks, HostRoster &Roster,
                Metrics &Stats);

  /// Applies an answer of a target; \p PerSecond is unset if the answer states
  /// no limit.
  void onAnswer(const std::string &Key, std::optional<double> PerSecond,
                TimePoint SentAt, TimePoint Now);

  /// Requests a permit to send one request to a target. Blocks the calling task
  /// for one exchange of messages if the target states a limit.
  PermitDecision acquire(const std::string &Key,
                         const std::function<bool()> &IsCancelled);

  /// Requests a permit to send one request to a target that is cold. Unlike
  /// that of acquire(), the limit is not stated by the target, so there is none
  /// without a permit.
  PermitDecision acquireCold(const std::string &RunKey, const ColdLimit &Limit,
                             const std::function<bool()> &IsCancelled);

  /// Chooses when a caller may return that was refused because every target in
  /// \p Keys is at its limit. Callers return at intervals at which there are
  /// permits for them.
  Duration scheduleReturn(const std::vector<std::string> &Keys, TimePoint Now);

  /// Counts a request that is sent to a target.
  void onSend(const std::string &Key, SendKind Kind);

  /// Renews the leases that are due and closes pools without demand. Called
  /// several times per second.
  void renewLeases();

  /// Returns all leases; from now on, other hosts are home.
  void beginStop();

  /// Logs the use of limited targets, at most once per ReportInterval.
  void reportUse(TimePoint Now);

  /// Forgets targets for which \p IsListed returns false, and past limits.
  void expire(const std::function<bool(const std::string &Key)> &IsListed,
              TimePoint Now);

  /// \returns the limit of a target as far as this host knows.
  std::optional<double> limitOf(const std::string &Key) const;

  /// \returns the number of targets that state a limit.
  std::size_t limitedTargets() const;

private:
  /// What this host sent to one target since the last report.
  struct Use {
    std::map<SendKind, std::uint64_t> Sends;
    std::uint64_t Refused = 0;
  };

  struct LimitedTarget {
    StatedLimit Limit;
    std::optional<LimitShare> Share;
    /// Set while this host grants permits.
    std::optional<LimitPool> Pool;
    /// The host that requests leases; of several, the one that ranks first.
    std::optional<HostId> Home;
    /// When it last did, by LeaseClock.
    TimePoint HomeRequestedAt{};
    /// No permit is requested before.
    TimePoint NextRequestAt{};
    /// When the next caller that is refused may return.
    TimePoint NextReturn{};
    Duration ReturnInterval{};
    std::size_t PendingRequests = 0;
    /// When this host last requested a permit, or leased its share.
    TimePoint LastUsed{};
    /// The home that was notified last that the target is cold, and when.
    std::optional<HostId> NotifiedHome;
    TimePoint NotifiedAt{};
    Use Recent;
  };

  struct PendingRequest {
    HostId Home;
    std::optional<PermitResponse> Response;
    Event Changed;
  };

  /// Tells the home that a target is cold, once per NoticeInterval.
  void notifyHome(const std::string &Key, HostId Home);
  LimitPoolPolicy poolPolicyOf(const std::string &Key) const;
  HostId self() const { return this->Roster.self().id(); }
  LimitedTarget *find(const std::string &Key);
  void mergeUpdate(const std::string &Key, const LimitUpdate &Update);
  LimitUpdate updateOf(const LimitedTarget &Target) const;
  void onLimitChanged(const std::string &Key, LimitedTarget &Target);

  /// Decides on a permit as the home of the limit.
  PermitResponse decide(const std::string &Key, HostId Requester);
  /// Requests a permit from the home. \returns nothing if the home did not
  /// answer or is leaving.
  std::optional<PermitResponse>
  requestPermit(const std::string &Key, HostId Home,
                const std::function<bool()> &IsCancelled);
  /// Records the answer to a request for a permit.
  PermitDecision applyResponse(const std::string &Key,
                               const PermitResponse &Result);

  /// Whether a home that responds has requested leases recently.
  bool hasActiveHome(const LimitedTarget &Target) const;
  /// \returns the active home, or else the host that would become it.
  HostId homeOf(const std::string &Key, const LimitedTarget &Target) const;
  /// Records that a host requests leases, unless the active home ranks before
  /// it.
  void onLeasesRequested(const std::string &Key, LimitedTarget &Target,
                         HostId From);
  /// Leases this host's share, if it holds one, to the home. \returns whether
  /// it is leased to \p Lessee.
  bool leaseOwnShare(const std::string &Key, LimitedTarget &Target,
                     HostId Lessee, std::uint64_t Round);
  std::vector<HostId> holdersOf(const std::string &Key) const;
  /// Requests the leases of all holders.
  void beginRound(const std::string &Key, LimitedTarget &Target);
  /// Stops granting permits and gives the leases back.
  void closePool(const std::string &Key, LimitedTarget &Target);

  void onPermitRequest(const Incarnation &From, const PermitRequest &Request);
  void onPermitResponse(const Incarnation &From,
                        const PermitResponse &Response);
  void onShareRequest(const Incarnation &From, const ShareRequest &Request);
  void onShareLease(const Incarnation &From, const ShareLease &Lease);
  void onShareRelease(const Incarnation &From, const ShareRelease &Release);
  template <typename Message>
  void handle(LimitMessageKind Kind,
              std::function<void(const Incarnation &, const Message &)> Take);
  template <typename Message>
  void send(HostId To, LimitMessageKind Kind, const Message &Body);

  LimiterPolicy Policy;
  LimiterHooks Hooks;
  HostRoster &Roster;
  Metrics &Stats;
  /// Targets that state a limit or recently did.
  std::map<std::string, LimitedTarget> Targets;
  std::map<std::uint64_t, PendingRequest> PendingRequests;
  /// The last number of a request for a permit or for shares.
  std::uint64_t LastNumber = 0;
  TimePoint NextReport{};
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
