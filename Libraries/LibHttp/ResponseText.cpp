#include "LibHttp/ResponseText.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <pistache/http_defs.h>

namespace bergamothook::detail {

namespace {

/// Appends a header line. Replaces line breaks in the value, which would start
/// another header.
void appendHeader(std::string &Text, const std::string &Name,
                  std::string Value) {
  std::replace(Value.begin(), Value.end(), '\r', ' ');
  std::replace(Value.begin(), Value.end(), '\n', ' ');
  Text += Name + ": " + Value + "\r\n";
}

std::string problemType(const char *Title) {
  std::string Type = "urn:bergamothook:problem:";
  Type += Title;
  std::replace(Type.begin(), Type.end(), ' ', '-');
  return Type;
}

} // namespace

std::string responseHead(int Status, const std::string &ContentType,
                         const HttpHeaders &ExtraHeaders,
                         std::optional<std::size_t> BodyBytes) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text += Pistache::Http::codeString(static_cast<Pistache::Http::Code>(Status));
  Text += "\r\n";
  if (!ContentType.empty())
    appendHeader(Text, "Content-Type", ContentType);
  for (const auto &[Name, Value] : ExtraHeaders)
    appendHeader(Text, Name, Value);
  if (BodyBytes)
    appendHeader(Text, "Content-Length", std::to_string(*BodyBytes));
  else
    appendHeader(Text, "Transfer-Encoding", "chunked");
  return Text + "\r\n";
}

std::string encodeChunk(const std::string &Data) {
  char Size[24];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Data.size());
  return Size + Data + "\r\n";
}

std::string problemBody(int Status, const char *Title) {
  nlohmann::json Problem{{"type", problemType(Title)},
                         {"title", Title},
                         {"status", Status},
                         {"outcome", "not_run"}};
  return Problem.dump();
}

} // namespace bergamothook::detail
