/// \file
/// The targets at which the stream of one call may begin or continue, by their
/// software versions.

#ifndef BERGAMOTHOOK_LIBRELAY_STREAMVERSIONRULE_H
#define BERGAMOTHOOK_LIBRELAY_STREAMVERSIONRULE_H

#include "LibRelay/RelayDispatcher.h"

namespace bergamothook::detail {

/// Whether the software version of a target allows a call.
enum class VersionMatch {
  Yes,
  /// It may do so in a moment.
  NotYet,
  No
};

/// A stream that may be resumed begins at a version on record, and continues at
/// the version that began it. Other calls may be sent to any target.
class StreamVersionRule {
public:
  StreamVersionRule(RelayDispatcher &Dispatcher, const RelayCall &Call)
      : Dispatcher(Dispatcher), Call(Call),
        IsResumable(Call.Route->hasResumableStreams()) {}

  /// Finds the version of the stream that the call resumes, if any.
  /// Blocks the calling task until \p Deadline at most. \returns whether the
  /// version is known, or is not needed.
  bool resolve(const std::string &Service, TimePoint Deadline,
               const std::function<bool()> &HasLeft);

  /// \returns whether any target may allow the call.
  bool hasMatch() const;

  VersionMatch match(const TargetState &Target) const;

  /// \returns how to make sure that \p Target is the listed run, and not
  /// another one of another version, on a connection that is \p ConnectedFor
  /// old, or older.
  RunCheck checkRun(const ListedTarget &Target, Duration ConnectedFor,
                    TimePoint Now) const;

  /// \returns whether the stream has begun, in this call or an earlier one.
  bool hasBegun() const { return this->Version.has_value(); }

  /// Records that the first event of the stream is about to be passed on.
  void onFirstEvent(const ListedTarget &Target);

  /// Records that the version at which the stream began can't be known.
  void setAmbiguous() { this->setVersion(AmbiguousVersion); }

  /// \returns whether \p Target was listed with another version since it was
  /// chosen, so that another run may have answered.
  bool isOtherVersion(const ListedTarget &Target) const;

private:
  void setVersion(VersionId Next);

  RelayDispatcher &Dispatcher;
  const RelayCall &Call;
  bool IsResumable;
  std::string Service;
  Hash128 Stream;
  /// Unset before the first event of a new stream.
  std::optional<VersionId> Version;
};

} // namespace bergamothook::detail

#endif
