/// \file
/// Finds out at which software version a stream began that a caller resumes.
///
/// While the targets of a service are of one version, nothing is exchanged.
/// Otherwise the host that relays a stream reports its version to a home in
/// each failure domain before it passes the first event on, and two of the
/// homes write it to the log, in batches. Another host asks the homes and reads
/// the log. What none of them knows is unknown; it is never guessed.

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
  /// Bound the memory use.
  std::size_t MaxOrigins = 32768;
  std::size_t MaxOwnStreams = 8192;
  std::size_t MaxPendingRecords = 8192;
};

struct OriginHooks {
  Runtime Tasks;
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

  /// \returns the version at which the stream began that a caller resumes at
  /// \p ResumedAt; nothing if it can't be known. Blocks the calling task until
  /// \p Deadline at most, or until \p IsCancelled returns true.
  std::optional<VersionId> resolve(const std::string &Service,
                                   const Hash128 &Stream, TimePoint ResumedAt,
                                   TimePoint Deadline,
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
    std::set<HostId> Unanswered;
    std::vector<OriginAnswer> Answers;
    bool IsLogRead = false;
    bool HasLogFailed = false;
    Event Changed;
  };

  void setHandlers();
  void onReport(const OriginReport &Report);
  void onQuestion(const Incarnation &From, const OriginQuestion &Question);
  void onAnswer(const Incarnation &From, const OriginAnswer &Answer);
  void queueForLog(const StreamOrigin &Origin);
  void report(const std::vector<StreamOrigin> &Origins);
  void sendReport(unsigned Partition, const std::vector<StreamOrigin> &Origins);
  void ask(Lookup &Asked, std::uint64_t Number, const std::string &Service,
           const Hash128 &Stream);
  /// \returns AmbiguousVersion if the homes contradict each other.
  std::optional<VersionId> knownVersion(const Hash128 &Stream,
                                        const Lookup &Asked) const;
  void readLog(const std::shared_ptr<Lookup> &Asked, const std::string &Service,
               const Hash128 &Stream, TimePoint ResumedAt);
  std::optional<VersionId> onlyVersion(const std::string &Service,
                                       TimePoint ResumedAt,
                                       const Lookup *Asked) const;
  TimePoint now() const { return this->Hooks.Tasks.Now(); }

  OriginPolicy Policy;
  VersionRegister &Versions;
  HostRoster &Roster;
  OriginHooks Hooks;
  StreamOrigins Origins;
  std::deque<OwnStream> OwnStreams;
  std::map<unsigned, std::deque<StreamOrigin>> ForLog;
  std::map<std::uint64_t, std::shared_ptr<Lookup>> Lookups;
  Event LogWork;
  std::uint64_t LastNumber = 0;
};

} // namespace bergamothook

#endif
