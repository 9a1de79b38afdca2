/// \file
/// Request parsing and responses shared by all stand-ins.

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_STANDINRESPONSES_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_STANDINRESPONSES_H

#include "LibHttp/HttpReply.h"
#include "LibStandinServer/FaultTable.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

namespace bergamothook {

/// Handles one request in a task of the stand-in's runtime.
using StandinHandler = std::function<void(const HttpRequest &, HttpReply)>;

void sendJson(HttpReply &Reply, int Status, const nlohmann::json &Body,
              const HttpHeaders &ExtraHeaders = {});

/// Sends the message of \p Error as JSON.
void sendError(HttpReply &Reply, int Status, std::error_code Error,
               const HttpHeaders &ExtraHeaders = {});

/// Reports that the target did not run the request because of \p Error.
void sendNotRun(HttpReply &Reply, std::error_code Error);

/// Serves /healthz and /faults, where POST sets faults. \returns false for any
/// other path.
bool serveCommonPaths(const HttpRequest &Request, HttpReply &Reply,
                      FaultTable &Faults);

/// Parses a JSON body, or responds with status 400 and returns nullopt.
std::optional<nlohmann::json> parseBody(const HttpRequest &Request,
                                        HttpReply &Reply);

/// \returns an integer query parameter, or \p Default if it is missing or
/// malformed.
std::uint64_t integerParameter(const HttpRequest &Request,
                               const std::string &Name, std::uint64_t Default);

/// Parses \p Text as an unsigned decimal integer without trailing characters.
std::optional<std::uint64_t> parseNumber(const std::string &Text);

} // namespace bergamothook

#endif
