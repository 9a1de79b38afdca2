/// \file
/// Cuts the bytes of an event stream (text/event-stream) into whole events.

#ifndef BERGAMOTHOOK_LIBRELAY_EVENTSPLITTER_H
#define BERGAMOTHOOK_LIBRELAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamothook {

/// Whole events, as they came.
struct EventRun {
  std::string Bytes;
  std::uint32_t Events = 0;
};

/// The largest event that is held back. An event carries a few tokens.
constexpr std::size_t MaxEventBytes = 256 * 1024;

/// Holds back an event until its last byte has come, so that the part of an
/// event that a target left behind never reaches a caller.
class EventSplitter {
public:
  /// Takes bytes of the stream. \returns the events that they complete.
  EventRun take(std::string_view Bytes);

  /// The bytes of the event that is not complete.
  const std::string &rest() const { return this->Rest; }

  void dropRest() { this->Rest.clear(); }

  /// The number of the last whole event.
  std::optional<std::uint64_t> lastId() const { return this->LastId; }

  /// Tells whether the event that is held back is larger than any may be.
  bool isOverlong() const { return this->Rest.size() > MaxEventBytes; }

  /// Tells whether an event came whose number does not follow the last one.
  bool hasGap() const { return this->HasGap; }

private:
  void readId(std::string_view Event);

  std::string Rest;
  std::optional<std::uint64_t> LastId;
  bool HasGap = false;
};

} // namespace bergamothook

#endif
