#include "LibHttp/ResponseHead.h"

#include "LibBase/HttpStatus.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bergamothook::detail {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr const char *LengthField = "content-length";
constexpr const char *CodingField = "transfer-encoding";

/// \returns whether \p Byte may be part of a token (RFC 9110, section 5.6.2).
bool isTokenByte(char Byte) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'z') ||
         (Byte >= 'A' && Byte <= 'Z') ||
         Marks.find(Byte) != std::string_view::npos;
}

/// \returns whether \p Byte may be part of a value or of a reason phrase.
bool isTextByte(char Byte) {
  constexpr unsigned char Delete = 0x7f;
  auto Code = static_cast<unsigned char>(Byte);
  return Byte == '\t' || (Code >= ' ' && Code != Delete);
}

bool isText(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isTextByte);
}

std::string toLowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char Byte) { return std::tolower(Byte); });
  return Lower;
}

std::string_view trimBlanks(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

} // namespace

bool ResponseHead::addLine(std::string_view Line) {
  if (!Line.ends_with(LineEnd))
    return false;
  Line.remove_suffix(LineEnd.size());
  if (this->Status == 0)
    return this->addStatusLine(Line);
  if (!Line.empty())
    return this->addField(Line);
  return this->IsComplete || this->end();
}

bool ResponseHead::end() {
  if (isInterimStatus(this->Status)) {
    *this = {};
    return true;
  }
  this->IsComplete = !this->Fields.contains(LengthField) ||
                     !this->Fields.contains(CodingField);
  return this->IsComplete;
}

bool ResponseHead::addStatusLine(std::string_view Line) {
  constexpr std::size_t VersionBytes = 8;
  constexpr std::size_t CodeBytes = 3;
  std::string_view Version = Line.substr(0, VersionBytes);
  if (Version != "HTTP/1.1" && Version != "HTTP/1.0")
    return false;
  Line.remove_prefix(VersionBytes);
  if (!Line.starts_with(' '))
    return false;
  Line.remove_prefix(1);
  std::string_view Code = Line.substr(0, CodeBytes);
  auto Parsed =
      std::from_chars(Code.data(), Code.data() + Code.size(), this->Status);
  if (Parsed.ec != std::errc() || Parsed.ptr != Code.data() + CodeBytes)
    return false;
  Line.remove_prefix(CodeBytes);
  return (isInterimStatus(this->Status) || isFinalStatus(this->Status)) &&
         (Line.empty() || Line.starts_with(' ')) && isText(Line);
}

bool ResponseHead::addField(std::string_view Line) {
  std::size_t Colon = Line.find(':');
  if (Colon == 0 || Colon == std::string_view::npos)
    return false;
  std::string Name = toLowerCase(Line.substr(0, Colon));
  std::string Value(trimBlanks(Line.substr(Colon + 1)));
  if (!std::all_of(Name.begin(), Name.end(), isTokenByte) || !isText(Value))
    return false;
  // A field of the trailer; the task may be reading those of the head.
  if (this->IsComplete)
    return true;
  auto [Field, IsNew] = this->Fields.try_emplace(Name, Value);
  if (Name == LengthField && Field->second != Value)
    return false;
  Field->second = Value;
  return true;
}

bool ResponseHead::isDelimited() const {
  constexpr unsigned NoContent = 204;
  constexpr unsigned NotModified = 304;
  if (this->Status == NoContent || this->Status == NotModified ||
      this->Fields.contains(LengthField))
    return true;
  auto Coding = this->Fields.find(CodingField);
  return Coding != this->Fields.end() &&
         toLowerCase(Coding->second).ends_with("chunked");
}

} // namespace bergamothook::detail
