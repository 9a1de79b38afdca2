/// \file
/// Splits the bytes of an event stream (text/event-stream) into complete
/// events.

#ifndef BERGAMOTHOOK_LIBRELAY_EVENTSPLITTER_H
#define BERGAMOTHOOK_LIBRELAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamothook {

/// Complete events, byte for byte as received.
struct EventBatch {
  std::string Bytes;
  std::uint32_t Events = 0;
};

/// The largest incomplete event that is buffered. An event carries a few
/// tokens.
constexpr std::size_t MaxEventBytes = 256 * 1024;

/// Buffers an event until its last byte has been received, so that an event a
/// target left incomplete is never forwarded to a caller.
class EventSplitter {
public:
  /// Begins with the bytes of another target, whose events are to follow the
  /// one with the id \p Last, if any.
  void beginAfter(std::optional<std::uint64_t> Last) {
    this->Partial.clear();
    this->LastId = Last;
    this->HasGap = false;
    this->MustGoOn = Last.has_value();
    this->EndsWithoutId = false;
  }

  /// Appends bytes of the stream. \returns the events that they complete.
  EventBatch feed(std::string_view Bytes);

  /// The bytes of the incomplete event.
  const std::string &partialEvent() const { return this->Partial; }

  /// Tells whether the incomplete event has any content.
  bool isInsideEvent() const {
    return this->Partial.find_first_not_of("\r\n") != std::string::npos;
  }

  void discardPartial() { this->Partial.clear(); }

  /// The id of the last complete event.
  std::optional<std::uint64_t> lastId() const { return this->LastId; }

  /// Tells whether the incomplete event exceeds MaxEventBytes.
  bool isOverlong() const { return this->Partial.size() > MaxEventBytes; }

  /// Tells whether the last complete event has data and no id, so that nothing
  /// can follow it but the bytes of the same target.
  bool endsWithoutId() const { return this->EndsWithoutId; }

  /// Tells whether the id of an event was not the successor of the previous
  /// one, or the first event after beginAfter() has none.
  bool hasGap() const { return this->HasGap; }

private:
  void readId(std::string_view Event);
  void onEventWithoutId(std::string_view Event);

  std::string Partial;
  std::optional<std::uint64_t> LastId;
  bool HasGap = false;
  bool MustGoOn = false;
  bool EndsWithoutId = false;
};

} // namespace bergamothook

#endif
