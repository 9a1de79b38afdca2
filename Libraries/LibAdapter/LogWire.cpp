#include "LibAdapter/LogWire.h"

#include "LibHttp/UrlCoding.h"

#include <cstring>

namespace bergamothook {

namespace {

constexpr std::size_t NumberBytes = 8;
constexpr unsigned BitsPerByte = 8;

void appendNumber(std::string &Bytes, std::uint64_t Value) {
  for (std::size_t Index = 0; Index < NumberBytes; ++Index)
    Bytes += static_cast<char>(Value >> (BitsPerByte * Index));
}

/// Reads numbers and strings from the front of a byte string.
class ByteReader {
public:
  explicit ByteReader(std::string_view Rest) : Rest(Rest) {}

  Result<std::uint64_t> number() {
    BOOST_OUTCOME_TRY(Bytes, this->text(NumberBytes));
    std::uint64_t Value = 0;
    for (std::size_t Index = NumberBytes; Index-- > 0;)
      Value = Value << BitsPerByte | static_cast<unsigned char>(Bytes[Index]);
    return Value;
  }

  Result<std::string_view> text(std::uint64_t Length) {
    if (Length > this->Rest.size())
      return LogError::MalformedResponse;
    std::string_view Text = this->Rest.substr(0, Length);
    this->Rest.remove_prefix(Length);
    return Text;
  }

  bool isAtEnd() const { return this->Rest.empty(); }

private:
  std::string_view Rest;
};

Result<LogEntry> readEntry(ByteReader &Input) {
  BOOST_OUTCOME_TRY(At, Input.number());
  BOOST_OUTCOME_TRY(Length, Input.number());
  BOOST_OUTCOME_TRY(Payload, Input.text(Length));
  return LogEntry{Offset{At}, std::string(Payload)};
}

} // namespace

std::string encodeLogPage(const LogPage &Page) {
  std::string Bytes;
  appendNumber(Bytes, Page.FirstRetained.Value);
  appendNumber(Bytes, Page.Next.Value);
  appendNumber(Bytes, Page.Entries.size());
  for (const LogEntry &Entry : Page.Entries) {
    appendNumber(Bytes, Entry.At.Value);
    appendNumber(Bytes, Entry.Payload.size());
    Bytes += Entry.Payload;
  }
  return Bytes;
}

Result<LogPage> decodeLogPage(std::string_view Bytes) {
  ByteReader Input(Bytes);
  LogPage Page;
  BOOST_OUTCOME_TRY(First, Input.number());
  BOOST_OUTCOME_TRY(Next, Input.number());
  BOOST_OUTCOME_TRY(Count, Input.number());
  Page.FirstRetained = Offset{First};
  Page.Next = Offset{Next};
  for (std::uint64_t Remaining = Count; Remaining > 0; --Remaining) {
    BOOST_OUTCOME_TRY(Entry, readEntry(Input));
    Page.Entries.push_back(std::move(Entry));
  }
  if (!Input.isAtEnd())
    return LogError::MalformedResponse;
  return Page;
}

std::string logEntriesPath(const std::string &Stream) {
  return "/log/" + urlEncode(Stream) + "/entries";
}

} // namespace bergamothook
