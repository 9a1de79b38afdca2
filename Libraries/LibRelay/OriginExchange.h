/// \file
/// Finds out at which software version a stream began that a caller resumes.
///
/// While the targets of a service are of one version, nothing is exchanged.
/// Otherwise the host that relays a stream reports its version to a home in
/// each failure domain before it passes the first event on, and two of the
/// homes write it to the log, in batches. Another host asks the homes and reads
/// the log. What none of them knows is unknown; it is never guessed.
///
/// What is known of a stream goes before what follows from the record of its
/// service, and a version is refused if the two contradict each other. A host
/// that can't read the log does not know whether others can: it takes the only
/// version that it knows for the only one if every other host says the same.

#ifndef BERGAMOTHOOK_LIBRELAY_ORIGINEXCHANGE_H
#define BERGAMOTHOOK_LIBRELAY_ORIGINEXCHANGE_H

#include "LibLoan/HostRoster.h"
#include "LibPeer/PeerNode.h"
#include "LibRelay/OriginMessages.h"
#include "LibRelay/StreamOrigins.h"
#include "LibRelay/VersionRegister.h"
#include "LibTask/Runtime.h"

#include <deque>
#include <memory>

namespace bergamothook {

struct OriginPolicy {
  /// Partitions of the log of origins.
  unsigned Partitions = 2;
  /// How many homes write an origin to the log.
  std::size_t Writers = 2;
  /// How long homes and the log are waited for.
  Duration HomeTimeout = std::chrono::milliseconds(100);
  Duration LookupTimeout = std::chrono::milliseconds(700);
  /// How often a host begins to ask all others, at most, and how much less
  /// often for each host in the fleet, which bounds its messages per second.
  Duration PollInterval = std::chrono::milliseconds(50);
  Duration PollIntervalPerHost = std::chrono::milliseconds(1);
  /// After what time those that did not answer are asked again, and how long
  /// their answers are waited for.
  Duration PollRepeat = std::chrono::milliseconds(60);
  Duration PollTimeout = std::chrono::milliseconds(500);
  /// Bound the memory use.
  std::size_t MaxOrigins = 32768;
  std::size_t MaxOwnStreams = 8192;
  std::size_t MaxPendingRecords = 8192;
};

/// By what the version of a stream was decided.
enum class OriginBasis {
  /// What a host, a home or the log knows of the stream.
  Stream,
  /// The record of the service, which is not out of date.
  Record,
  /// All hosts know the same version and no other.
  Fleet,
  /// What is known contradicts itself.
  Contradiction,
  Unknown,
};

const char *nameOf(OriginBasis Basis);

struct OriginDecision {
  /// Unset if it can't be known.
  std::optional<VersionId> Version;
  OriginBasis Basis = OriginBasis::Unknown;
};

struct OriginHooks {
  Runtime Tasks;
  /// Like Tasks.Now, but counts the time during which the machine was
  /// suspended.
  std::function<TimePoint()> LeaseClock;
  std::function<void(HostId To, std::uint16_t Kind, std::string_view Body)>
      Send;
  std::function<void(std::uint16_t Kind, PeerNode::Handler Callback)>
      SetHandler;
  /// Read the records of versions, or the new origins of one partition, from
  /// the log; what they find is passed on before they return. Block the calling
  /// task.
  std::function<Result<void>()> ReadVersions = [] { return success(); };
  std::function<Result<void>(unsigned Partition)> ReadOrigins = [](unsigned) {
    return success();
  };
};

/// All member functions are called from tasks of one runtime.
class OriginExchange {
public:
  OriginExchange(OriginPolicy Policy, VersionRegister &Versions,
                 HostRoster &Roster, OriginHooks Hooks);

  /// Sets the hooks that read the log, once there is one.
  void setLog(std::function<Result<void>()> ReadVersions,
              std::function<Result<void>(unsigned Partition)> ReadOrigins);

  /// Records that this host is about to pass on the first event of a stream.
  void onBegun(const std::string &Service, const StreamOrigin &Origin);

  /// Reports the streams that this host relays, once versions are mixed. Called
  /// at short intervals.
  void update();

  /// The log lost origins, so they are reported again.
  void onLogRestored();

  bool hasForLog(unsigned Partition) const;
  /// Notified when there are origins for the log.
  Event &logWork() { return this->LogWork; }

  /// Removes and returns the origins that this host is to write to the log.
  std::vector<StreamOrigin> takeForLog(unsigned Partition);

  /// Puts origins back that could not be written.
  void putBackForLog(unsigned Partition,
                     const std::vector<StreamOrigin> &Origins);

  /// Applies origins that were read from the log.
  void onRead(const std::vector<StreamOrigin> &Origins);

  /// Finds the version at which the stream began that a caller resumes at \p
  /// ResumedAt. Blocks the calling task until \p Deadline at most, or until \p
  /// IsCancelled returns true.
  OriginDecision resolve(const std::string &Service, const Hash128 &Stream,
                         TimePoint ResumedAt, TimePoint Deadline,
                         const std::function<bool()> &IsCancelled);

  unsigned partitionOf(const Hash128 &Stream) const {
    return static_cast<unsigned>(Stream.High % this->Policy.Partitions);
  }
  const OriginPolicy &policy() const { return this->Policy; }

private:
  /// A stream that this host relays or relayed.
  struct OwnStream {
    TimePoint BegunAt{};
    std::string Service;
    StreamOrigin Origin;
    bool IsReported = false;
  };

  struct Lookup {
    std::string Service;
    Hash128 Stream;
    /// By the lease clock.
    TimePoint ResumedAt{};
    std::set<HostId> Unanswered;
    std::vector<OriginAnswer> Answers;
    bool IsLogRead = false;
    bool HasLogFailed = false;
    Event Changed;
  };

  /// What all hosts say of the versions of a service.
  struct Poll {
    std::uint64_t Number = 0;
    TimePoint BegunAt{};
    TimePoint AskedAt{};
    std::set<HostId> Unanswered;
    /// The only version that this host knows.
    VersionId OnlyVersion = AmbiguousVersion;
    /// A host knows another version, or none.
    bool IsRefuted = false;
    bool isSettled() const {
      return this->IsRefuted || this->Unanswered.empty();
    }
  };

  void setHandlers();
  void onReport(const OriginReport &Report);
  void onQuestion(const Incarnation &From, const OriginQuestion &Question);
  void onAnswer(const Incarnation &From, const OriginAnswer &Answer);
  void queueForLog(const StreamOrigin &Origin);
  void report(const std::vector<StreamOrigin> &Origins);
  void sendReport(unsigned Partition, const std::vector<StreamOrigin> &Origins);
  void askHomes(Lookup &Asked, std::uint64_t Number);
  void onPollAnswer(const Incarnation &From, const OriginAnswer &Answer);
  /// Asks all hosts about \p Service, if that is due.
  void pollFleet(const std::string &Service, TimePoint ResumedAt);
  void askUnanswered(const std::string &Service, Poll &Asked);
  /// \returns the poll that covers every stream that a caller can resume at
  /// \p ResumedAt; null if there is none.
  const Poll *pollFor(const std::string &Service, TimePoint ResumedAt) const;
  /// \returns the only version that this host knows, if no other is listed.
  std::optional<VersionId> unmixedVersion(const std::string &Service) const;
  /// \returns AmbiguousVersion if the homes contradict each other.
  std::optional<VersionId> knownVersion(const Lookup &Asked) const;
  void readLog(const std::shared_ptr<Lookup> &Asked);
  /// \returns what follows from the record of the service.
  OriginDecision recordedVersion(const Lookup &Asked) const;
  /// \returns what follows from all that is known.
  OriginDecision decide(const Lookup &Asked) const;
  bool isLookupDone(const Lookup &Asked, bool AwaitsHomes) const;
  TimePoint leaseNow() const { return this->Hooks.LeaseClock(); }
  TimePoint now() const { return this->Hooks.Tasks.Now(); }

  OriginPolicy Policy;
  VersionRegister &Versions;
  HostRoster &Roster;
  OriginHooks Hooks;
  StreamOrigins Origins;
  std::deque<OwnStream> OwnStreams;
  std::map<unsigned, std::deque<StreamOrigin>> ForLog;
  std::map<std::uint64_t, std::shared_ptr<Lookup>> Lookups;
  /// The latest poll of each service.
  std::map<std::string, Poll> Polls;
  Event LogWork;
  std::uint64_t LastNumber = 0;
};

} // namespace bergamothook

#endif
