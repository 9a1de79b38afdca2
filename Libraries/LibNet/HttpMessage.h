/// \file
/// The head of an HTTP/1.1 message as received: header fields keep their order
/// and repetitions, and the request target is not decoded.

#ifndef BERGAMOTHOOK_LIBNET_HTTPMESSAGE_H
#define BERGAMOTHOOK_LIBNET_HTTPMESSAGE_H

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamothook {

struct HeaderField {
  std::string Name;
  std::string Value;

  bool operator==(const HeaderField &) const = default;
};

/// Compares two header names case-insensitively.
bool isSameHeader(std::string_view Left, std::string_view Right);

/// The header fields of one message.
class HeaderList {
public:
  void add(std::string_view Name, std::string_view Value) {
    this->Fields.push_back({std::string(Name), std::string(Value)});
  }

  /// \returns the value of the first field with that name.
  std::optional<std::string_view> find(std::string_view Name) const;

  /// \returns whether any field with that name contains \p Token in its
  /// comma-separated list, as in Connection.
  bool hasToken(std::string_view Name, std::string_view Token) const;

  /// Removes all fields with that name.
  void remove(std::string_view Name);

  void removeIf(const std::function<bool(const HeaderField &)> &Condition);

  /// Removes the hop-by-hop fields, including those that the Connection field
  /// lists, and Content-Length.
  void removeConnectionFields();

  const std::vector<HeaderField> &fields() const { return this->Fields; }

private:
  std::vector<HeaderField> Fields;
};

struct HttpRequestHead {
  std::string Method;
  /// Path and query as received.
  std::string Target;
  HeaderList Headers;
  bool KeepAlive = true;
  /// False for HTTP/1.0, whose clients can't read chunks.
  bool ReadsChunks = true;
  bool ExpectsContinue = false;
};

struct HttpResponseHead {
  unsigned Status = 0;
  std::string Reason;
  HeaderList Headers;
  bool KeepAlive = true;
  /// Set if the message has a Content-Length.
  std::optional<std::uint64_t> Length;
  bool IsChunked = false;
};

/// Consecutive bytes of a body.
struct BodyPiece {
  std::string Bytes;
  /// Set on the last piece of a complete message.
  bool IsLast = false;
  /// Set on the last piece if the message has neither a length nor chunks, so
  /// that only the end of the connection tells that it is complete.
  bool EndsWithConnection = false;
};

/// Formats the head of a request whose body has \p BodyBytes bytes.
std::string formatRequestHead(const HttpRequestHead &Head,
                              std::size_t BodyBytes);

/// How the body of a response is delimited.
enum class BodyFraming {
  Length,
  Chunked,
  /// No field tells.
  None,
};

std::string formatResponseHead(const HttpResponseHead &Head,
                               BodyFraming Framing, std::size_t BodyBytes);

std::string formatChunk(std::string_view Bytes);

/// The final chunk of a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace bergamothook

#endif
