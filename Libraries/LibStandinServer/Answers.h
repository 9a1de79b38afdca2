/// \file
/// Answers that the stand-ins have in common.

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_ANSWERS_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_ANSWERS_H

#include "LibHttp/HttpReply.h"
#include "LibStandinServer/FaultTable.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

namespace bergamothook {

/// Serves one request as a task of the stand-in's runtime.
using StandinHandler = std::function<void(const HttpRequest &, HttpReply)>;

void answerJson(HttpReply &Reply, int Status, const nlohmann::json &Body,
                const HttpHeaders &ExtraHeaders = {});

/// Answers with the text of \p Failure.
void answerFailure(HttpReply &Reply, int Status, std::error_code Failure,
                   const HttpHeaders &ExtraHeaders = {});

/// Answers that the target did not run the request, for the reason \p Failure.
void answerNotRun(HttpReply &Reply, std::error_code Failure);

/// Answers GET /healthz, GET /faults and POST /faults. \returns false where
/// the request is another.
bool answerCommon(const HttpRequest &Request, HttpReply &Reply,
                  FaultTable &Faults);

/// Parses a body of JSON, or answers with status 400.
std::optional<nlohmann::json> parseBody(const HttpRequest &Request,
                                        HttpReply &Reply);

/// Reads a number of a query, or \p Default where it is missing or malformed.
std::uint64_t numberParameter(const HttpRequest &Request,
                              const std::string &Name, std::uint64_t Default);

/// Reads a whole decimal number.
std::optional<std::uint64_t> parseNumber(const std::string &Text);

} // namespace bergamothook

#endif
