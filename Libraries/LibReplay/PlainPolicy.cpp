#include "LibReplay/PlainPolicy.h"

namespace bergamothook {

namespace {

constexpr Duration PlainTimeout = std::chrono::seconds(2);

std::size_t maxAttempts(ReplayPolicy Policy) {
  return Policy == ReplayPolicy::PlainRetry ? 3 : 1;
}

Result<void> forwardStream(const EngineStream &Stream, const StreamHooks &Hooks,
                           StreamOutcome &Ending) {
  for (;;) {
    BOOST_OUTCOME_TRY(Chunk, Stream.Next(Hooks.Tasks.Now() + PlainTimeout));
    if (!Hooks.Emit(Chunk))
      return OutcomeError::CallerGone;
    Ending.DeliveredTokens += Chunk.Tokens;
    if (Chunk.IsLast)
      return success();
  }
}

} // namespace

OrderAnswer runPlainOrder(const OrderRequest &Request,
                          const OrderDispatcherHooks &Hooks,
                          ReplayPolicy Policy) {
  OrderAnswer Response;
  Response.Verdict = Outcome::NotRun;
  std::vector<TargetId> Tried;
  while (Tried.size() < maxAttempts(Policy)) {
    auto Target = Hooks.ChooseTarget(Request, Tried, Hooks.Tasks.Now());
    if (!Target)
      break;
    Tried.push_back(Target.value().Id);
    ServiceCall Call;
    Call.Request = requestIdOf(Request.Team, Request.Key);
    Call.Body = Request.Body;
    auto Received = Hooks.Service.Call(Target.value().Address, Call,
                                       Hooks.Tasks.Now() + PlainTimeout);
    if (Received) {
      Response.Verdict = Outcome::Done;
      Response.Answer = Received.value();
      return Response;
    }
    Response.Reason = Received.error();
  }
  return Response;
}

StreamOutcome runPlainStream(const StreamRequest &Request,
                             const StreamHooks &Hooks, ReplayPolicy Policy) {
  StreamOutcome Ending;
  Ending.Verdict = Outcome::NotRun;
  (void)Hooks.Reserve(Request, Hooks.Tasks.Now());
  std::vector<TargetId> Tried;
  while (Ending.DeliveredTokens == 0 && Tried.size() < maxAttempts(Policy)) {
    auto Target = Hooks.ChooseTarget(Request, Tried, Hooks.Tasks.Now());
    if (!Target)
      break;
    Tried.push_back(Target.value().Id);
    ++Ending.Attempts;
    GenerationRequest Generation{Request.Request,
                                 AttemptNumber{Ending.Attempts},
                                 Request.Model,
                                 Request.Prompt,
                                 Request.MaxTokens,
                                 Request.Priority,
                                 0};
    auto Stream = Hooks.Engine.Open(Target.value().Address, Generation,
                                    Hooks.Tasks.Now() + PlainTimeout);
    Result<void> Forwarded = Stream
                                 ? forwardStream(Stream.value(), Hooks, Ending)
                                 : Result<void>(Stream.error());
    Ending.Reason = {};
    Ending.Verdict = Outcome::Done;
    if (Forwarded)
      break;
    Ending.Reason = Forwarded.error();
    Ending.Verdict = Outcome::NotRun;
  }
  Hooks.Settle(Request, {});
  return Ending;
}

} // namespace bergamothook
