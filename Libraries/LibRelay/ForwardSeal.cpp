#include "LibRelay/ForwardSeal.h"

#include "LibPeer/PeerError.h"

#include <charconv>
#include <cstdio>
#include <sstream>

namespace bergamothook {

namespace {

constexpr std::string_view RequestField = "Relay-Forwarded";
constexpr std::string_view AnswerField = "Relay-Answered";
/// Milliseconds that state that a call has no end.
constexpr std::int64_t NoEnd = -1;
/// The version of both fields.
constexpr int FormatVersion = 1;

std::string toHexText(const Signature &Bytes) {
  std::string Text;
  for (std::uint8_t Byte : Bytes) {
    char Digits[3];
    std::snprintf(Digits, sizeof(Digits), "%02x", Byte);
    Text += Digits;
  }
  return Text;
}

std::optional<Signature> parseSignature(std::string_view Text) {
  Signature Bytes{};
  if (Text.size() != 2 * Bytes.size())
    return std::nullopt;
  for (std::size_t I = 0; I < Bytes.size(); ++I) {
    const char *Begin = Text.data() + 2 * I;
    auto Parsed = std::from_chars(Begin, Begin + 2, Bytes[I], 16);
    if (Parsed.ec != std::errc() || Parsed.ptr != Begin + 2)
      return std::nullopt;
  }
  return Bytes;
}

/// The terms as in the field, with the identifier of the key.
std::string formatTerms(const ForwardTerms &Terms, unsigned KeyId) {
  std::ostringstream Out;
  Out << FormatVersion << ' ' << Terms.From.Host.Value << ' ' << Terms.From.Run
      << ' ' << Terms.To.Host.Value << ' ' << Terms.To.Run << ' '
      << Terms.Sequence << ' '
      << (Terms.TimeLeft ? Terms.TimeLeft->count() : NoEnd) << ' '
      << Terms.ConfigVersion << ' ' << KeyId;
  return std::move(Out).str();
}

/// What the signature of a request covers. Lengths keep the parts apart.
std::string signedText(const std::string &Terms, const HttpRequestHead &Head,
                       std::string_view Body) {
  std::string Text;
  auto Append = [&Text](std::string_view Part) {
    Text += std::to_string(Part.size()) + ":";
    Text += Part;
  };
  Append(RequestField);
  Append(Terms);
  Append(Head.Method);
  Append(Head.Target);
  for (const HeaderField &Field : Head.Headers.fields()) {
    Append(Field.Name);
    Append(Field.Value);
  }
  Append("");
  Append(Body);
  return Text;
}

std::string signedAnswerText(const HttpResponseHead &Head,
                             const std::string &Signature,
                             PeerVerdict Verdict) {
  return std::string(AnswerField) + " " + Signature + " " +
         std::to_string(Head.Status) + " " +
         std::to_string(static_cast<int>(Verdict));
}

/// Removes the last field with a name, which the other host has added.
std::optional<std::string> takeLast(HeaderList &Headers,
                                    std::string_view Name) {
  std::size_t Count = 0;
  std::optional<std::string> Value;
  for (const HeaderField &Field : Headers.fields())
    if (isSameHeader(Field.Name, Name)) {
      ++Count;
      Value = Field.Value;
    }
  std::size_t Seen = 0;
  Headers.removeIf([&](const HeaderField &Field) {
    return isSameHeader(Field.Name, Name) && ++Seen == Count;
  });
  return Value;
}

} // namespace

std::optional<std::string>
ForwardSeal::sealRequest(HttpRequestHead &Head, std::string_view Body,
                         Incarnation To,
                         std::optional<std::chrono::milliseconds> TimeLeft,
                         std::uint64_t ConfigVersion) {
  const KeyRing *Ring = this->Keys();
  if (!Ring)
    return std::nullopt;
  std::string Terms = formatTerms(
      {this->Self, To, ++this->LastSequence, TimeLeft, ConfigVersion},
      Ring->signingKeyId());
  std::string Signed = toHexText(Ring->sign(signedText(Terms, Head, Body)));
  Head.Headers.add(RequestField, Terms + " " + Signed);
  return Signed;
}

Result<ForwardSeal::OpenedRequest>
ForwardSeal::openRequest(HttpRequestHead &Head, std::string_view Body) {
  const KeyRing *Ring = this->Keys();
  if (!Ring)
    return PeerError::UnknownKey;
  Head.Headers.removeConnectionFields();
  auto Field = takeLast(Head.Headers, RequestField);
  if (!Field)
    return PeerError::Malformed;
  std::istringstream In(*Field);
  OpenedRequest Opened;
  ForwardTerms &Terms = Opened.Terms;
  int Version = 0;
  unsigned KeyId = 0;
  std::int64_t MillisecondsLeft = NoEnd;
  In >> Version >> Terms.From.Host.Value >> Terms.From.Run >>
      Terms.To.Host.Value >> Terms.To.Run >> Terms.Sequence >>
      MillisecondsLeft >> Terms.ConfigVersion >> KeyId >> Opened.Signature;
  if (MillisecondsLeft >= 0)
    Terms.TimeLeft = std::chrono::milliseconds(MillisecondsLeft);
  auto Signed = parseSignature(Opened.Signature);
  if (In.fail() || Version != FormatVersion || KeyId > UINT8_MAX || !Signed)
    return PeerError::Malformed;
  BOOST_OUTCOME_TRYV(
      Ring->verify(static_cast<std::uint8_t>(KeyId),
                   signedText(formatTerms(Terms, KeyId), Head, Body), *Signed));
  Opened.IsFresh =
      Terms.To == this->Self && this->acceptOnce(Terms.From, Terms.Sequence);
  return Opened;
}

bool ForwardSeal::acceptOnce(const Incarnation &From, std::uint64_t Sequence) {
  if (!this->Senders.contains(From) && this->Senders.size() >= MaxSenders)
    return false;
  return this->Senders[From].accept(Sequence);
}

void ForwardSeal::sealAnswer(HttpResponseHead &Head,
                             const std::string &Signature,
                             PeerVerdict Verdict) const {
  const KeyRing *Ring = this->Keys();
  if (!Ring)
    return;
  std::string Signed =
      toHexText(Ring->sign(signedAnswerText(Head, Signature, Verdict)));
  Head.Headers.add(AnswerField, std::to_string(FormatVersion) + " " +
                                    std::to_string(static_cast<int>(Verdict)) +
                                    " " + std::to_string(Ring->signingKeyId()) +
                                    " " + Signed);
}

Result<PeerVerdict>
ForwardSeal::openAnswer(HttpResponseHead &Head,
                        const std::string &Signature) const {
  const KeyRing *Ring = this->Keys();
  auto Field = takeLast(Head.Headers, AnswerField);
  if (!Ring || !Field)
    return PeerError::Malformed;
  std::istringstream In(*Field);
  int Version = 0;
  int Code = 0;
  unsigned KeyId = 0;
  std::string Text;
  In >> Version >> Code >> KeyId >> Text;
  auto Signed = parseSignature(Text);
  if (In.fail() || Version != FormatVersion || KeyId > UINT8_MAX || !Signed ||
      Code < 0 || Code > static_cast<int>(PeerVerdict::Busy))
    return PeerError::Malformed;
  auto Verdict = static_cast<PeerVerdict>(Code);
  BOOST_OUTCOME_TRYV(Ring->verify(static_cast<std::uint8_t>(KeyId),
                                  signedAnswerText(Head, Signature, Verdict),
                                  *Signed));
  return Verdict;
}

} // namespace bergamothook
