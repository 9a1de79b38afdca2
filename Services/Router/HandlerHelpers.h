/// \file
/// Helpers shared by the HTTP request handlers.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_HANDLERHELPERS_H
#define BERGAMOTHOOK_SERVICES_ROUTER_HANDLERHELPERS_H

#include "LibApi/ApiFailure.h"
#include "LibConfig/ConfigSnapshot.h"
#include "LibHttp/HttpReply.h"

#include <nlohmann/json_fwd.hpp>

namespace bergamothook {

/// Sends a problem+json response with its status and Retry-After header.
void sendProblem(HttpReply &Reply, const ApiProblem &Problem);

/// Sends a JSON response.
void sendJson(HttpReply &Reply, int Status, const nlohmann::json &Body);

/// \returns the token of the header "Authorization: Bearer TOKEN"; empty if
/// there is none.
std::string bearerTokenOf(const HttpRequest &Request);

/// \returns the team that the request's token authenticates, or null.
const EffectiveTeam *teamOf(const ConfigSnapshot &Config,
                            const HttpRequest &Request);

} // namespace bergamothook

#endif
