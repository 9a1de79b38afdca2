/// \file
/// How handlers answer callers.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_HANDLERHELPERS_H
#define BERGAMOTHOOK_SERVICES_ROUTER_HANDLERHELPERS_H

#include "LibApi/ApiFailure.h"
#include "LibConfig/ConfigSnapshot.h"
#include "LibHttp/HttpReply.h"

#include <nlohmann/json_fwd.hpp>

namespace bergamothook {

/// Answers with a problem body, its status and its Retry-After header.
void sendProblem(HttpReply &Reply, const ApiProblem &Problem);

/// Answers with a JSON body.
void sendJson(HttpReply &Reply, int Status, const nlohmann::json &Body);

/// The token of "Authorization: Bearer TOKEN"; empty when there is none.
std::string bearerTokenOf(const HttpRequest &Request);

/// The team that the request's token names, or null.
const EffectiveTeam *teamOf(const ConfigSnapshot &Config,
                            const HttpRequest &Request);

} // namespace bergamothook

#endif
