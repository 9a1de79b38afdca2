/// \file
/// The software versions at which the streams of a service may have begun.
///
/// The log holds one record for each service, with the set of its versions in
/// use. A version is added to the record before the first stream begins at it,
/// and removed when no caller can have a stream of it any more. While the
/// record holds one version only, every stream began at that one, and nothing
/// needs to be known of single streams.

#ifndef BERGAMOTHOOK_LIBRELAY_VERSIONREGISTER_H
#define BERGAMOTHOOK_LIBRELAY_VERSIONREGISTER_H

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace bergamothook {

enum class VersionPhase : std::uint8_t {
  /// Streams may begin at the version.
  InUse,
  /// No stream begins at it any more, but callers may resume one.
  Leaving,
};

/// The record of a service.
using VersionSet = std::map<std::string, VersionPhase>;

struct VersionPolicy {
  /// How long after its beginning a caller may resume a stream.
  Duration StreamLife = std::chrono::seconds(60);
  /// A version is added to the record this long after it was first listed, and
  /// a list that is older than this is not relied on. So a host that relies on
  /// its list has seen each version that any host uses.
  Duration ListTolerance = std::chrono::milliseconds(500);
  /// A version that was not listed for this long counts as listed for the first
  /// time when it is listed again. Longer than the list keeps the entry of a
  /// target that is gone.
  Duration SightingGap = std::chrono::seconds(5);
  /// A list that is older than this does not tell which run of a target answers
  /// on a new connection. Longer than one wait for changes of the list.
  Duration RunListTolerance = std::chrono::seconds(1);
  /// The host that ranks first for a service writes its record; each next one
  /// waits this much longer.
  Duration TurnTime = std::chrono::milliseconds(400);
  /// How often the record is read while a version is listed that it lacks, and
  /// while it holds several versions.
  Duration AdmissionReadInterval = std::chrono::milliseconds(150);
  Duration MixedReadInterval = std::chrono::seconds(10);
  /// Bound what other writers of the list can add.
  std::size_t MaxVersions = 16;
  std::size_t MaxServices = 1024;
};

/// What one host knows of the records. Times count those in which the machine
/// was suspended, since other hosts go on in them. Not thread-safe.
class VersionRegister {
public:
  /// \p RankOf returns the position of this host in the order in which hosts
  /// write the record of a service.
  explicit VersionRegister(
      VersionPolicy Policy,
      std::function<std::size_t(const std::string &Service)> RankOf)
      : Policy(Policy), RankOf(std::move(RankOf)) {}

  /// Sets the services that have resumable streams. The versions of others are
  /// not recorded.
  void setServices(std::set<std::string> Services) {
    this->Services = std::move(Services);
  }

  /// Records that a target of \p Version is in the list. \returns false if
  /// there are too many versions to take notice of this one.
  bool onListed(const std::string &Service, const std::string &Version,
                TimePoint Now);

  /// Records that the list is complete as of \p AsOf.
  void onListRead(TimePoint AsOf) { this->ListAsOf = AsOf; }

  /// Records that changes of the list before \p Now may have been missed.
  void onListGap(TimePoint Now) { this->MissedUntil = Now; }

  /// Records the content of the log as of \p AsOf: all records, also those of
  /// services that have none.
  void onRead(const std::map<std::string, VersionSet> &Records, TimePoint AsOf);

  /// What is read next is of a copy of the log that may lack what was read
  /// before.
  void onLogRestored();

  /// \returns whether the log was ever read.
  bool hasRead() const { return this->ReadAsOf.has_value(); }

  /// \returns whether the log is to be read at \p Now, to learn of changes.
  bool isReadDue(TimePoint Now) const;

  /// \returns the records that this host is to write now, if the log still
  /// holds what was last read.
  std::map<std::string, VersionSet> proposals(TimePoint Now);

  /// \returns whether a stream may begin at \p Version.
  bool mayBegin(const std::string &Service, const std::string &Version) const;

  /// \returns whether the list was read without a gap for so long before \p
  /// ResumedAt that each version that any host uses was seen in it.
  bool hasWatchedList(TimePoint ResumedAt) const;

  /// \returns whether what is known covers every stream that a caller can
  /// resume at \p ResumedAt.
  bool isCurrent(const std::string &Service, TimePoint ResumedAt) const;

  /// \returns whether the list tells which run of a target answers on a
  /// connection that was made at \p ConnectedAt and is still open: it was read
  /// long enough after that, and shows no run that ended before.
  bool coversConnection(TimePoint ConnectedAt) const {
    return this->ListAsOf &&
           ConnectedAt + this->Policy.SightingGap <= *this->ListAsOf;
  }

  /// \returns whether the list was read a moment before \p Now.
  bool isListRecent(TimePoint Now) const {
    return this->ListAsOf &&
           Now - *this->ListAsOf < this->Policy.RunListTolerance;
  }

  /// \returns the only version at which streams can have begun; nothing if
  /// there are several, or none.
  std::optional<std::string> onlyVersion(const std::string &Service) const;

  /// \returns whether streams may begin at several versions, or may soon.
  bool isMixed(const std::string &Service) const;

  std::set<std::string> mixedServices() const;

  const VersionPolicy &policy() const { return this->Policy; }

private:
  /// When a version was seen in the list.
  struct Sighting {
    TimePoint First{};
    TimePoint Last{};
  };

  bool mustRead() const {
    return !this->ReadAsOf || *this->ReadAsOf < this->MissedUntil;
  }
  /// Forgets services that are not listed any more. \returns whether there were
  /// any.
  bool forgetServices(TimePoint Now);
  void updateKnown();
  const VersionSet &known(const std::string &Service) const;
  bool hasUnknownVersion(const std::string &Service) const;
  Duration turn(const std::string &Service) const;
  /// \returns what the record is to become, if hosts that rank before this one
  /// have not written it in \p Turn.
  VersionSet next(const std::string &Service, Duration Turn,
                  TimePoint Now) const;
  bool isUnlisted(const std::string &Service, const std::string &Version,
                  TimePoint Now) const;

  VersionPolicy Policy;
  std::function<std::size_t(const std::string &)> RankOf;
  std::set<std::string> Services;
  std::map<std::string, std::map<std::string, Sighting>> Sightings;
  std::map<std::string, VersionSet> Records;
  /// What a restored log lost.
  std::map<std::string, VersionSet> Lost;
  /// The records with what a restored log lost.
  std::map<std::string, VersionSet> Known;
  /// Since when this host has seen a version as leaving.
  std::map<std::pair<std::string, std::string>, TimePoint> LeavingSince;
  std::optional<TimePoint> ListAsOf;
  std::optional<TimePoint> FirstListAsOf;
  std::optional<TimePoint> ReadAsOf;
  /// Changes of the list before this time may have been missed.
  TimePoint MissedUntil{};
};

} // namespace bergamothook

#endif
