#include "LibAdapter/LogWire.h"

#include "LibHttp/UrlCoding.h"

#include <cstring>

namespace bergamothook {

namespace {

constexpr std::size_t NumberBytes = 8;
constexpr unsigned BitsPerByte = 8;

void putNumber(std::string &Bytes, std::uint64_t Value) {
  for (std::size_t At = 0; At < NumberBytes; ++At)
    Bytes += static_cast<char>(Value >> (BitsPerByte * At));
}

/// Takes numbers and texts off the front of a byte string.
class Reader {
public:
  explicit Reader(std::string_view Rest) : Rest(Rest) {}

  Result<std::uint64_t> number() {
    BOOST_OUTCOME_TRY(Bytes, this->text(NumberBytes));
    std::uint64_t Value = 0;
    for (std::size_t At = NumberBytes; At-- > 0;)
      Value = Value << BitsPerByte | static_cast<unsigned char>(Bytes[At]);
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

Result<LogEntry> readEntry(Reader &From) {
  BOOST_OUTCOME_TRY(At, From.number());
  BOOST_OUTCOME_TRY(Length, From.number());
  BOOST_OUTCOME_TRY(Payload, From.text(Length));
  return LogEntry{Offset{At}, std::string(Payload)};
}

} // namespace

std::string encodeLogPage(const LogPage &Page) {
  std::string Bytes;
  putNumber(Bytes, Page.FirstRetained.Value);
  putNumber(Bytes, Page.Next.Value);
  putNumber(Bytes, Page.Entries.size());
  for (const LogEntry &Entry : Page.Entries) {
    putNumber(Bytes, Entry.At.Value);
    putNumber(Bytes, Entry.Payload.size());
    Bytes += Entry.Payload;
  }
  return Bytes;
}

Result<LogPage> decodeLogPage(std::string_view Bytes) {
  Reader From(Bytes);
  LogPage Page;
  BOOST_OUTCOME_TRY(First, From.number());
  BOOST_OUTCOME_TRY(Next, From.number());
  BOOST_OUTCOME_TRY(Count, From.number());
  Page.FirstRetained = Offset{First};
  Page.Next = Offset{Next};
  for (std::uint64_t Left = Count; Left > 0; --Left) {
    BOOST_OUTCOME_TRY(Entry, readEntry(From));
    Page.Entries.push_back(std::move(Entry));
  }
  if (!From.isAtEnd())
    return LogError::MalformedResponse;
  return Page;
}

std::string logEntriesPath(const std::string &Stream) {
  return "/log/" + urlEncode(Stream) + "/entries";
}

} // namespace bergamothook
