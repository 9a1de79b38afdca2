#include "TargetAnswer.h"

#include "LibNet/HttpMessage.h"

#include <algorithm>
#include <cstdio>

namespace bergamothook {

namespace {

constexpr std::size_t BytesPerChunk = 20;

/// A body with its framing, and how far each byte of the body reaches in it.
struct FramedBody {
  std::string Bytes;
  std::vector<std::size_t> EndOfByte;
};

FramedBody frame(const TargetAnswer &Script, const std::string &Body) {
  FramedBody Framed;
  bool IsChunked = Script.Framing == AnswerFraming::Chunked;
  for (std::size_t At = 0; At < Body.size();) {
    std::size_t Size =
        IsChunked ? std::min(BytesPerChunk, Body.size() - At) : Body.size();
    std::string Chunk = Body.substr(At, Size);
    std::string Bytes = IsChunked ? formatChunk(Chunk) : Chunk;
    std::size_t LineBytes = IsChunked ? Bytes.find('\n') + 1 : 0;
    for (std::size_t I = 0; I < Size; ++I)
      Framed.EndOfByte.push_back(Framed.Bytes.size() + LineBytes + I + 1);
    Framed.Bytes += Bytes;
    At += Size;
  }
  if (IsChunked)
    Framed.Bytes += "0\r\n" + Script.Trailer + "\r\n";
  return Framed;
}

std::string headOf(const TargetAnswer &Script, const std::string &Tag,
                   const std::string &CallId, std::size_t BodyBytes) {
  char Code[16];
  std::snprintf(Code, sizeof(Code), "%03u", Script.Status);
  std::string Head =
      Script.Interim + "HTTP/" + Script.Version + " " + Code + " Text\r\n";
  Head += "Id: " + (Script.NamesOtherCall ? "other" : CallId) + "\r\n";
  if (Script.HasStamp)
    Head += "Stamp: " + Tag + "\r\n";
  if (!Script.Type.empty())
    Head += "Content-Type: " + Script.Type + "\r\n";
  Head += Script.ExtraFields;
  if (Script.Status != 204 && Script.Framing == AnswerFraming::Length)
    Head += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  if (Script.Status != 204 && Script.Framing == AnswerFraming::Chunked)
    Head += "Transfer-Encoding: chunked\r\n";
  return Head + "\r\n";
}

} // namespace

bool TargetAnswer::isEventStream() const {
  std::string MediaType = this->Type.substr(0, this->Type.find(';'));
  return this->Status == 200 && isSameHeader(MediaType, "text/event-stream");
}

std::string eventText(const std::string &Tag, std::optional<std::uint64_t> Id,
                      unsigned Number, const std::string &LineEnd) {
  return (Id ? "id: " + std::to_string(*Id) + LineEnd : "") + "data: " + Tag +
         "-" + std::to_string(Number) + LineEnd + LineEnd;
}

SentAnswer render(const TargetAnswer &Script, const std::string &Tag,
                  const std::string &CallId, bool IsHead,
                  std::uint64_t LastEventId) {
  SentAnswer Sent;
  Sent.Script = Script;
  Sent.Tag = Tag;
  if (Script.Numbering == EventNumbering::GoesOn)
    Sent.FirstId = LastEventId + 1;
  else if (Script.Numbering == EventNumbering::Skips)
    Sent.FirstId = LastEventId + 2;
  std::string Body = Script.Body;
  std::vector<std::size_t> EventEnds;
  if (Script.Events) {
    Body.clear();
    for (unsigned I = 0; I < *Script.Events; ++I) {
      std::optional<std::uint64_t> Id;
      if (Script.Numbering != EventNumbering::None)
        Id = Sent.FirstId + I;
      Body += eventText(Tag, Id, I, Script.LineEnd);
      EventEnds.push_back(Body.size());
    }
  }
  bool HasBody = !IsHead && Script.Status != 204;
  std::string Head = headOf(Script, Tag, CallId, Body.size());
  FramedBody Framed = HasBody ? frame(Script, Body) : FramedBody{};
  std::string Whole = Head + Framed.Bytes;
  Sent.Bytes = Whole.substr(0, Script.Cut);
  auto IsSent = [&](std::size_t End) {
    return Head.size() + End <= Sent.Bytes.size();
  };
  auto SentBytes = static_cast<std::size_t>(
      std::count_if(Framed.EndOfByte.begin(), Framed.EndOfByte.end(), IsSent));
  Sent.Payload = Body.substr(0, HasBody ? SentBytes : 0);
  Sent.WholeEvents = static_cast<unsigned>(
      std::count_if(EventEnds.begin(), EventEnds.end(),
                    [&](std::size_t End) { return End <= SentBytes; }));
  if (!HasBody || Script.Framing != AnswerFraming::Connection)
    Sent.IsWhole = Sent.Bytes.size() == Whole.size();
  else
    Sent.IsWhole = IsSent(0) && !Script.Resets;
  return Sent;
}

} // namespace bergamothook
