/// \file
/// The head of an HTTP/1.1 message, kept as it came: header fields stay in
/// order, repeated ones stay repeated, and the request target is not decoded.

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

/// Compares two header names, whose case does not count.
bool isSameHeader(std::string_view Left, std::string_view Right);

/// The header fields of one message.
class HeaderList {
public:
  void add(std::string_view Name, std::string_view Value) {
    this->Fields.push_back({std::string(Name), std::string(Value)});
  }

  /// Gives the value of the first field of that name.
  std::optional<std::string_view> find(std::string_view Name) const;

  /// Tells whether any field of that name lists \p Token, as Connection does.
  bool hasToken(std::string_view Name, std::string_view Token) const;

  /// Takes out all fields of that name.
  void remove(std::string_view Name);

  void removeIf(const std::function<bool(const HeaderField &)> &Condition);

  /// Takes out the fields that concern one connection only, those that the
  /// Connection field lists among them, and the length of the body.
  void removeConnectionFields();

  const std::vector<HeaderField> &fields() const { return this->Fields; }

private:
  std::vector<HeaderField> Fields;
};

struct HttpRequestHead {
  std::string Method;
  /// Path and query as they came.
  std::string Target;
  HeaderList Headers;
  bool KeepAlive = true;
  bool ExpectsContinue = false;
};

struct HttpResponseHead {
  unsigned Status = 0;
  std::string Reason;
  HeaderList Headers;
  bool KeepAlive = true;
  /// Set where the message tells its length.
  std::optional<std::uint64_t> Length;
  bool IsChunked = false;
};

/// A run of body bytes.
struct BodyPiece {
  std::string Bytes;
  /// Set on the last piece of a complete message.
  bool IsLast = false;
};

/// Writes a request whose body has \p BodyBytes bytes.
std::string formatRequestHead(const HttpRequestHead &Head,
                              std::size_t BodyBytes);

/// How the body of a response is delimited.
enum class BodyFraming { Length, Chunked };

/// Writes a response head.
std::string formatResponseHead(const HttpResponseHead &Head,
                               BodyFraming Framing, std::size_t BodyBytes);

std::string formatChunk(std::string_view Bytes);

/// Ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace bergamothook

#endif
