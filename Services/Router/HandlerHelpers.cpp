#include "HandlerHelpers.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

void sendProblem(HttpReply &Reply, const ApiProblem &Problem) {
  HttpHeaders Headers;
  if (auto Seconds = Problem.retryAfterHeader())
    Headers["retry-after"] = *Seconds;
  Reply.sendResponse(propertiesOf(Problem.Failure).Status,
                     "application/problem+json", Problem.toJson(), Headers);
}

void sendJson(HttpReply &Reply, int Status, const nlohmann::json &Body) {
  Reply.sendResponse(
      Status, "application/json",
      Body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n");
}

std::string bearerTokenOf(const HttpRequest &Request) {
  constexpr std::string_view Scheme = "Bearer ";
  std::string Header = Request.header("authorization");
  if (Header.compare(0, Scheme.size(), Scheme) != 0)
    return "";
  return Header.substr(Scheme.size());
}

const EffectiveTeam *teamOf(const ConfigSnapshot &Config,
                            const HttpRequest &Request) {
  return Config.teamOfToken(bearerTokenOf(Request));
}

} // namespace bergamothook
