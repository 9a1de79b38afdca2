/// \file
/// A request of a caller, independent of the wire format.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYCALL_H
#define BERGAMOTHOOK_LIBRELAY_RELAYCALL_H

#include "LibBase/Hash.h"
#include "LibNet/HttpMessage.h"
#include "LibNet/MemoryBudget.h"
#include "LibRelay/RelayConfig.h"
#include "LibRelay/RequestTraits.h"

namespace bergamothook {

/// A part of a prompt, which other calls may share.
struct PromptPart {
  std::string Id;
  std::int64_t TokenCount = 0;
};

struct RelayCall {
  /// Identifies this attempt of the caller; targets echo it in their responses.
  std::string Id;
  HttpRequestHead Head;
  std::string Body;
  RelayConfigPtr Config;
  /// Points into Config.
  const RelayRoute *Route = nullptr;
  /// Points into Config; null on a public route.
  const RelayTeam *Team = nullptr;
  TimePoint ArrivedAt{};
  /// When the caller stops waiting; TimePoint::max() if it did not say.
  TimePoint CallerDeadline = TimePoint::max();
  std::string Model;
  /// The caller resumes a stream that broke off: the id of its attempt that
  /// brought the first event, and the last event that it has, as it states
  /// them.
  std::optional<std::string> ResumedAttempt;
  std::optional<std::string> ResumedAfter;
  /// The host that forwarded the call to this one; empty for a caller's own.
  std::string ForwardedBy;
  /// In prompt order.
  std::vector<PromptPart> Parts;
  std::int64_t PromptTokens = 0;
  std::int64_t MaxOutputTokens = 0;

  bool isResumption() const {
    return this->ResumedAttempt || this->ResumedAfter;
  }

  /// \returns whether the call, or a caller that resumes its stream, may reach
  /// several targets.
  bool mayRepeat() const {
    return this->Route->Kind == CallKind::Idempotent ||
           this->Route->hasResumableStreams();
  }

  /// The id of the attempt of which the stream of this call is, or will be.
  const std::string &streamAttempt() const {
    return this->ResumedAttempt ? *this->ResumedAttempt : this->Id;
  }

  int priority() const {
    return this->Team && this->Team->Priority ? *this->Team->Priority
                                              : this->Route->Priority;
  }

  /// The priority rank passed to an inference engine; 0 is the most urgent.
  /// Within one priority, short prompts rank before long ones: reading a long
  /// prompt takes several times the whole latency objective of a short answer,
  /// so a few long reports would delay many short questions.
  int rankAtEngine() const {
    return 2 * this->priority() + (this->hasLongPrompt() ? 1 : 0);
  }

  bool hasLongPrompt() const {
    constexpr std::int64_t LongPromptTokens = 4000;
    return this->PromptTokens > LongPromptTokens;
  }

  /// The time by which the caller must have the complete answer.
  TimePoint deadline() const {
    TimePoint RouteEnd = this->ArrivedAt + this->Route->Timeout;
    return this->Route->Timeout > Duration::zero()
               ? std::min(this->CallerDeadline, RouteEnd)
               : this->CallerDeadline;
  }

  /// Hashes what all attempts of this request have in common: method, path,
  /// team and body.
  Hash128 contentHash() const {
    std::string Line = this->Head.Method + " " + this->Head.Target + " " +
                       (this->Team ? this->Team->Name : "");
    return hash128(this->Body, hash64(Line));
  }

  RequestTraits traits() const {
    RequestTraits Traits = {this->contentHash(), {}};
    std::size_t Shared = this->Parts.empty() ? 0 : this->Parts.size() - 1;
    for (std::size_t I = 0; I < std::min(Shared, MaxTraitParts); ++I)
      Traits.Parts.push_back(hash128(this->Parts[I].Id));
    std::sort(Traits.Parts.begin(), Traits.Parts.end());
    auto Repeated = std::unique(Traits.Parts.begin(), Traits.Parts.end());
    Traits.Parts.erase(Repeated, Traits.Parts.end());
    return Traits;
  }

  /// On whose behalf the call holds memory.
  MemoryOwner memoryOwner() const {
    return hash64(this->Team ? this->Team->Name : "", hash64("team"));
  }

  /// The most tokens that the call can cost its team.
  Tokens maxTokenCost() const {
    return this->PromptTokens + this->MaxOutputTokens;
  }
};

} // namespace bergamothook

#endif
