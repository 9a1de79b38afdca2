/// \file
/// One call of a caller, in the relay's own terms.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYCALL_H
#define BERGAMOTHOOK_LIBRELAY_RELAYCALL_H

#include "LibBase/Hash.h"
#include "LibNet/HttpMessage.h"
#include "LibRelay/RelayConfig.h"

namespace bergamothook {

/// A part of a prompt, which other calls may share.
struct PromptPart {
  std::string Id;
  std::int64_t TokenCount = 0;
};

struct RelayCall {
  /// Names this attempt of the caller; targets echo it.
  std::string Id;
  HttpRequestHead Head;
  std::string Body;
  RelayConfigPtr Config;
  /// Points into Config.
  const RelayRoute *Route = nullptr;
  /// Points into Config; null on a public route.
  const RelayTeam *Team = nullptr;
  TimePoint ArrivedAt{};
  /// When the caller stops waiting; TimePoint::max() when it did not say.
  TimePoint CallerDeadline = TimePoint::max();
  std::string Model;
  /// In the order in which they stand in the prompt.
  std::vector<PromptPart> Parts;
  std::int64_t PromptTokens = 0;
  std::int64_t MaxOutputTokens = 0;

  int priority() const {
    return this->Team && this->Team->Priority ? *this->Team->Priority
                                              : this->Route->Priority;
  }

  /// The rank by which an engine should take the call up; 0 goes first. Within
  /// one priority short prompts go before long ones, which take a multiple of a
  /// short answer's whole objective to read. Answers the load of a few long
  /// reports beside many short questions.
  int rankAtEngine() const {
    constexpr std::int64_t LongPromptTokens = 4000;
    return 2 * this->priority() +
           (this->PromptTokens > LongPromptTokens ? 1 : 0);
  }

  /// The time by which the caller must have its whole answer.
  TimePoint deadline() const {
    TimePoint RouteEnd = this->ArrivedAt + this->Route->Timeout;
    return this->Route->Timeout > Duration::zero()
               ? std::min(this->CallerDeadline, RouteEnd)
               : this->CallerDeadline;
  }

  /// Tells this request from others of the same or another caller, whichever
  /// attempt it is.
  Hash128 content() const {
    std::string Line = this->Head.Method + " " + this->Head.Target + " " +
                       (this->Team ? this->Team->Name : "");
    return hash128(this->Body, hash64(Line));
  }

  /// The most that the call can cost its team.
  Tokens worstCase() const {
    return this->PromptTokens + this->MaxOutputTokens;
  }
};

} // namespace bergamothook

#endif
