#include "LibHttp/HttpRequest.h"

#include "LibHttp/UrlCoding.h"

#include <algorithm>
#include <string_view>

namespace bergamothook {

std::string HttpRequest::header(const std::string &Name) const {
  auto Found = this->Headers.find(Name);
  return Found == this->Headers.end() ? std::string() : Found->second;
}

std::string HttpRequest::parameter(const std::string &Name) const {
  std::string_view Remaining = this->Query;
  while (!Remaining.empty()) {
    std::string_view Pair = Remaining.substr(0, Remaining.find('&'));
    Remaining.remove_prefix(std::min(Remaining.size(), Pair.size() + 1));
    std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return urlDecode(Pair.substr(Equals + 1));
  }
  return {};
}

} // namespace bergamothook
