/// \file
/// An answer of a target as bytes on its connection, and where it breaks off.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAYFRONT_TARGETANSWER_H
#define BERGAMOTHOOK_TESTS_LIBRELAYFRONT_TARGETANSWER_H

#include <optional>
#include <string>
#include <vector>

namespace bergamothook {

enum class AnswerFraming { Length, Chunked, Connection };

/// The ids of the events in an answer.
enum class EventNumbering {
  /// After the last event that the request names, or from 1.
  GoesOn,
  FromOne,
  Skips,
  None,
};

struct TargetAnswer {
  unsigned Status = 200;
  /// No field if empty.
  std::string Type;
  AnswerFraming Framing = AnswerFraming::Length;
  /// Set for a list of events instead of \c Body.
  std::optional<unsigned> Events = std::nullopt;
  EventNumbering Numbering = EventNumbering::GoesOn;
  std::string LineEnd = "\n";
  std::string Body;
  std::string Version = "1.1";
  /// Sent before the answer.
  std::string Interim;
  /// Fields after the last chunk.
  std::string Trailer;
  std::string ExtraFields;
  bool HasStamp = true;
  bool NamesOtherCall = false;

  /// How many bytes are sent before the connection ends; all if there are not
  /// so many.
  std::size_t Cut = std::string::npos;
  /// The connection is reset instead of closed.
  bool Resets = false;
  /// A pause is made after so many bytes.
  std::size_t PauseAt = std::string::npos;

  bool isEventStream() const;
};

/// What was sent for one request.
struct SentAnswer {
  TargetAnswer Script;
  /// Identifies the answer in its stamp and its events.
  std::string Tag;
  /// The first id, and the number of events that were sent whole.
  std::uint64_t FirstId = 1;
  unsigned WholeEvents = 0;
  std::string Bytes;
  /// The part of the body that was sent, without its framing.
  std::string Payload;
  /// The answer is complete by its framing.
  bool IsWhole = false;
};

/// Lays out the answer to a request.
SentAnswer render(const TargetAnswer &Script, const std::string &Tag,
                  const std::string &CallId, bool IsHead,
                  std::uint64_t LastEventId);

std::string eventText(const std::string &Tag, std::optional<std::uint64_t> Id,
                      unsigned Number, const std::string &LineEnd);

} // namespace bergamothook

#endif
