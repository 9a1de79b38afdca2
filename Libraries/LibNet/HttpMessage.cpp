#include "LibNet/HttpMessage.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <ostream> // Boost 1.74 lacks this include in ostream_put.hpp.

namespace bergamothook {

namespace http = boost::beast::http;

namespace {

boost::beast::string_view toBeastView(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// The hop-by-hop fields of RFC 9110, section 7.6.1, and the fields that
/// delimit the body.
constexpr std::string_view ConnectionFields[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Content-Length",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Expect",
};

void appendFields(std::string &Out, const HeaderList &Headers) {
  for (const HeaderField &Field : Headers.fields()) {
    Out += Field.Name;
    Out += ": ";
    Out += Field.Value;
    Out += "\r\n";
  }
}

} // namespace

bool isSameHeader(std::string_view Left, std::string_view Right) {
  return boost::beast::iequals(toBeastView(Left), toBeastView(Right));
}

std::optional<std::string_view> HeaderList::find(std::string_view Name) const {
  for (const HeaderField &Field : this->Fields)
    if (isSameHeader(Field.Name, Name))
      return Field.Value;
  return std::nullopt;
}

bool HeaderList::hasToken(std::string_view Name, std::string_view Token) const {
  return std::any_of(this->Fields.begin(), this->Fields.end(),
                     [&](const HeaderField &Field) {
                       return isSameHeader(Field.Name, Name) &&
                              http::token_list{toBeastView(Field.Value)}.exists(
                                  toBeastView(Token));
                     });
}

void HeaderList::remove(std::string_view Name) {
  this->removeIf([Name](const HeaderField &Field) {
    return isSameHeader(Field.Name, Name);
  });
}

void HeaderList::removeIf(
    const std::function<bool(const HeaderField &)> &Condition) {
  std::erase_if(this->Fields, Condition);
}

void HeaderList::removeConnectionFields() {
  std::vector<std::string> ListedNames;
  for (const HeaderField &Field : this->Fields)
    if (isSameHeader(Field.Name, "Connection"))
      for (auto Token : http::token_list{toBeastView(Field.Value)})
        ListedNames.emplace_back(Token.data(), Token.size());
  this->removeIf([&ListedNames](const HeaderField &Field) {
    auto IsField = [&Field](std::string_view Name) {
      return isSameHeader(Field.Name, Name);
    };
    return std::any_of(std::begin(ConnectionFields), std::end(ConnectionFields),
                       IsField) ||
           std::any_of(ListedNames.begin(), ListedNames.end(), IsField);
  });
}

std::string formatRequestHead(const HttpRequestHead &Head,
                              std::size_t BodyBytes) {
  std::string Out = Head.Method + " " + Head.Target + " HTTP/1.1\r\n";
  appendFields(Out, Head.Headers);
  if (BodyBytes > 0 || Head.Method == "POST" || Head.Method == "PUT" ||
      Head.Method == "PATCH")
    Out += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  Out += "\r\n";
  return Out;
}

std::string formatResponseHead(const HttpResponseHead &Head,
                               BodyFraming Framing, std::size_t BodyBytes) {
  std::string Reason = Head.Reason;
  if (Reason.empty()) {
    auto Standard = http::obsolete_reason(http::int_to_status(Head.Status));
    Reason.assign(Standard.data(), Standard.size());
  }
  std::string Out =
      "HTTP/1.1 " + std::to_string(Head.Status) + " " + Reason + "\r\n";
  appendFields(Out, Head.Headers);
  if (Framing == BodyFraming::Chunked)
    Out += "Transfer-Encoding: chunked\r\n";
  else if (Framing == BodyFraming::Length && Head.Status != 204 &&
           Head.Status != 304)
    Out += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  if (!Head.KeepAlive)
    Out += "Connection: close\r\n";
  Out += "\r\n";
  return Out;
}

std::string formatChunk(std::string_view Bytes) {
  char Size[16];
  auto End = std::to_chars(Size, Size + sizeof(Size), Bytes.size(), 16);
  std::string Out(Size, End.ptr);
  Out += "\r\n";
  Out += Bytes;
  Out += "\r\n";
  return Out;
}

} // namespace bergamothook
