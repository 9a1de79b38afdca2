#include "ReceivedAnswer.h"

#include <charconv>

namespace bergamothook {

namespace {

constexpr std::string_view LineEnd = "\r\n";

std::string fieldOf(const std::string &Head, const std::string &Name) {
  std::size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 4;
  return Head.substr(At, Head.find(LineEnd, At) - At);
}

/// Takes bytes from the front.
std::optional<std::string> take(std::string &Bytes, std::size_t Size) {
  if (Bytes.size() < Size)
    return std::nullopt;
  std::string Taken = Bytes.substr(0, Size);
  Bytes.erase(0, Size);
  return Taken;
}

std::optional<std::string> takeLine(std::string &Bytes) {
  std::size_t End = Bytes.find(LineEnd);
  if (End == std::string::npos)
    return std::nullopt;
  std::string Line = Bytes.substr(0, End);
  Bytes.erase(0, End + LineEnd.size());
  return Line;
}

void splitChunks(ReceivedAnswer &Answer) {
  for (;;) {
    auto Line = takeLine(Answer.Rest);
    if (!Line)
      return;
    std::size_t Size = 0;
    auto Parsed =
        std::from_chars(Line->data(), Line->data() + Line->size(), Size, 16);
    if (Line->empty() || Parsed.ptr != Line->data() + Line->size()) {
      Answer.IsMalformed = true;
      return;
    }
    auto Chunk = take(Answer.Rest, Size);
    // A chunk that is cut is no whole one.
    if (!Chunk) {
      Answer.Body += std::exchange(Answer.Rest, {});
      return;
    }
    Answer.Body += *Chunk;
    auto ChunkEnd = take(Answer.Rest, LineEnd.size());
    if (!ChunkEnd)
      return;
    if (*ChunkEnd != LineEnd) {
      Answer.IsMalformed = true;
      return;
    }
    if (Size == 0) {
      Answer.IsWhole = true;
      return;
    }
  }
}

void splitBody(const PlayedExchange &Played, ReceivedAnswer &Answer) {
  std::string Length = fieldOf(Answer.Head, "Content-Length");
  bool IsChunked = fieldOf(Answer.Head, "Transfer-Encoding") == "chunked";
  if (Played.Request.Method == "HEAD" || Answer.Status == 204 ||
      Answer.Status == 304) {
    Answer.IsWhole = true;
  } else if (IsChunked) {
    Answer.IsMalformed = !Length.empty() || Played.Request.Version == "1.0";
    splitChunks(Answer);
  } else if (!Length.empty()) {
    auto Body = take(Answer.Rest, std::stoul(Length));
    Answer.IsWhole = Body.has_value();
    Answer.Body = Body ? *Body : std::exchange(Answer.Rest, {});
  } else {
    Answer.Body = std::exchange(Answer.Rest, {});
    Answer.IsWhole = !Played.WasReset;
  }
}

const SentAnswer *findSent(const PlayedExchange &Played,
                           const std::string &Tag) {
  for (const SentAnswer &Each : Played.Sent)
    if (Each.Tag == Tag)
      return &Each;
  return nullptr;
}

/// The events of a stream, all of them whole.
struct EventRun {
  const SentAnswer *Of = nullptr;
  unsigned Events = 0;
};

/// Splits a stream into the runs whose events it holds, in the order in which
/// the targets were asked. \returns what is wrong with it.
std::string findStreamFault(const PlayedExchange &Played,
                            const ReceivedAnswer &Answer) {
  std::vector<EventRun> Runs;
  std::string Rest = Answer.Body;
  std::uint64_t NextId = findSent(Played, Answer.Stamp)->FirstId;
  for (const SentAnswer &Each : Played.Sent) {
    bool HasIds = Each.Script.Numbering != EventNumbering::None;
    EventRun Run{&Each};
    for (; Run.Events < Each.WholeEvents; ++Run.Events) {
      std::optional<std::uint64_t> Id;
      if (HasIds)
        Id = NextId;
      std::string Text =
          eventText(Each.Tag, Id, Run.Events, Each.Script.LineEnd);
      if (!Rest.starts_with(Text))
        break;
      Rest.erase(0, Text.size());
      ++NextId;
    }
    if (Run.Events > 0 || (Runs.empty() && Each.Tag == Answer.Stamp) ||
        (Each.Script.isEventStream() && Each.WholeEvents == 0))
      Runs.push_back(Run);
  }
  if (!Rest.empty())
    return "bytes that belong to no event in order: " + Rest;
  bool HasBegun = false;
  const EventRun *Last = nullptr;
  for (const EventRun &Each : Runs) {
    if (Each.Events == 0 && Each.Of->Tag != Answer.Stamp && !HasBegun)
      continue;
    if (!HasBegun && Each.Of->Tag != Answer.Stamp)
      return "events of another target than the head";
    bool IsJoined = HasBegun && Each.Events > 0;
    if (IsJoined && !Played.Request.IsResumable)
      return "events of two targets, though the stream may not be resumed";
    if (IsJoined && Each.Of->Script.Numbering == EventNumbering::None)
      return "joined events without ids";
    if (IsJoined && Last->Of->Script.Numbering == EventNumbering::None &&
        Last->Events > 0)
      return "events joined to events without ids";
    HasBegun = true;
    if (Each.Events > 0 || Each.Of->IsWhole || !Last)
      Last = &Each;
  }
  if (!Last)
    return "a stream of no target";
  if (Answer.IsWhole && !Last->Of->IsWhole)
    return "a broken stream passes for complete";
  if (Answer.IsWhole && Last->Events != Last->Of->WholeEvents)
    return "a stream without its last events passes for complete";
  return {};
}

std::string findContentFault(const PlayedExchange &Played,
                             const ReceivedAnswer &Answer) {
  if (Answer.Stamp.empty()) {
    if (Answer.Status != 502 && Answer.Status != 503 && Answer.Status != 504)
      return "neither a target's answer nor a refusal";
    return Answer.IsWhole ? "" : "a refusal that is cut";
  }
  const SentAnswer *Sent = findSent(Played, Answer.Stamp);
  if (!Sent || Sent->Script.Status != Answer.Status)
    return "a status that the target did not give";
  if (fieldOf(Answer.Head, "Id") != Played.CallId)
    return "the answer to another call";
  if (fieldOf(Answer.Head, "Content-Type") != Sent->Script.Type)
    return "a content type that the target did not give";
  if (fieldOf(Answer.Head, "Trailing").size() +
          fieldOf(Answer.Head, "Set-By").size() >
      0)
    return "a field of the trailer in the head";
  if (Answer.IsWhole && Sent->IsWhole && Answer.Body == Sent->Payload)
    return {};
  bool IsHead = Played.Request.Method == "HEAD";
  if (Sent->Script.isEventStream() && !IsHead)
    return findStreamFault(Played, Answer);
  if (!Answer.IsWhole)
    return "an answer that is cut";
  return Sent->IsWhole ? "another body than the target's"
                       : "a broken answer passes for complete";
}

} // namespace

ReceivedAnswer split(const PlayedExchange &Played) {
  ReceivedAnswer Answer;
  Answer.Rest = Played.Received;
  std::size_t End = Answer.Rest.find("\r\n\r\n");
  if (End == std::string::npos || !Answer.Rest.starts_with("HTTP/1.1 ")) {
    Answer.IsMalformed = true;
    return Answer;
  }
  Answer.Head = *take(Answer.Rest, End + 2 * LineEnd.size());
  Answer.Status = static_cast<unsigned>(std::stoul(Answer.Head.substr(9, 3)));
  Answer.Stamp = fieldOf(Answer.Head, "Stamp");
  splitBody(Played, Answer);
  return Answer;
}

std::string findFault(const PlayedExchange &Played) {
  if (!Played.HasEnded)
    return "no end";
  ReceivedAnswer Answer = split(Played);
  if (Answer.IsMalformed)
    return "bytes that are no answer";
  std::string Fault = findContentFault(Played, Answer);
  if (!Fault.empty())
    return Fault;
  bool IsKept = Answer.IsWhole && Played.Request.Version == "1.1";
  if (Answer.Rest != (IsKept ? AnswerHost::NextAnswer : ""))
    return "other bytes behind the answer";
  if (!Answer.IsWhole && !Played.WasReset)
    return "a broken answer whose connection was not reset";
  return {};
}

std::string describe(const PlayedExchange &Played) {
  std::string Text = "kind " +
                     std::to_string(static_cast<int>(Played.Request.Kind)) +
                     (Played.Request.IsResumable ? ", resumable, " : ", ") +
                     Played.Request.Method + " HTTP/" + Played.Request.Version;
  for (const SentAnswer &Each : Played.Sent)
    Text += "\n--- target sent" +
            std::string(Each.Script.Resets ? ", then reset:\n" : ":\n") +
            Each.Bytes;
  return Text + "\n--- caller received" +
         (Played.WasReset ? ", then a reset:\n" : ":\n") + Played.Received;
}

} // namespace bergamothook
