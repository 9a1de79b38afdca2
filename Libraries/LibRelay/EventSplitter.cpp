#include "LibRelay/EventSplitter.h"

#include <charconv>

namespace bergamothook {

namespace {

/// Finds the end of the first event: the position after the blank line that
/// terminates it.
std::size_t endOfEvent(std::string_view Bytes) {
  std::size_t Unix = Bytes.find("\n\n");
  std::size_t Dos = Bytes.find("\r\n\r\n");
  if (Unix == std::string_view::npos && Dos == std::string_view::npos)
    return std::string_view::npos;
  if (Dos < Unix)
    return Dos + 4;
  return Unix + 2;
}

} // namespace

EventBatch EventSplitter::feed(std::string_view Bytes) {
  this->Partial += Bytes;
  EventBatch Batch;
  std::size_t Begin = 0;
  for (;;) {
    std::string_view Left = std::string_view(this->Partial).substr(Begin);
    std::size_t Length = endOfEvent(Left);
    if (Length == std::string_view::npos)
      break;
    this->readId(Left.substr(0, Length));
    ++Batch.Events;
    Begin += Length;
  }
  Batch.Bytes = this->Partial.substr(0, Begin);
  this->Partial.erase(0, Begin);
  return Batch;
}

void EventSplitter::readId(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  std::size_t At = Event.starts_with(Field) ? 0 : Event.find("\nid:");
  if (At == std::string_view::npos)
    return this->onEventWithoutId(Event);
  At = Event.find(':', At) + 1;
  while (At < Event.size() && Event[At] == ' ')
    ++At;
  std::uint64_t Id = 0;
  auto Parsed =
      std::from_chars(Event.data() + At, Event.data() + Event.size(), Id);
  if (Parsed.ec != std::errc())
    return this->onEventWithoutId(Event);
  if (this->LastId && Id != *this->LastId + 1)
    this->HasGap = true;
  this->LastId = Id;
  this->MustGoOn = false;
  this->EndsWithoutId = false;
}

void EventSplitter::onEventWithoutId(std::string_view Event) {
  constexpr std::string_view Field = "data";
  // Comments and empty events may be lost or repeated.
  if (!Event.starts_with(Field) &&
      Event.find("\ndata") == std::string_view::npos)
    return;
  this->HasGap = this->HasGap || this->MustGoOn;
  this->EndsWithoutId = true;
}

} // namespace bergamothook
