#include "LibReplay/PlainPolicy.h"

namespace bergamothook {

namespace {

constexpr Duration PlainTimeout = std::chrono::seconds(2);

std::size_t attemptsOf(ReplayPolicy Policy) {
  return Policy == ReplayPolicy::PlainRetry ? 3 : 1;
}

Result<void> passOn(const EngineStream &Stream, const StreamHooks &Hooks,
                    StreamOutcome &Ending) {
  for (;;) {
    BOOST_OUTCOME_TRY(Piece, Stream.Next(Hooks.Tasks.Now() + PlainTimeout));
    if (!Hooks.Emit(Piece))
      return OutcomeError::CallerGone;
    Ending.DeliveredTokens += Piece.Tokens;
    if (Piece.IsLast)
      return success();
  }
}

} // namespace

OrderAnswer runPlainOrder(const OrderRequest &Request,
                          const OrderDispatcherHooks &Hooks,
                          ReplayPolicy Policy) {
  OrderAnswer Given;
  Given.Verdict = Outcome::NotRun;
  std::vector<TargetId> Tried;
  while (Tried.size() < attemptsOf(Policy)) {
    auto Target = Hooks.ChooseTarget(Request, Tried, Hooks.Tasks.Now());
    if (!Target)
      break;
    Tried.push_back(Target.value().Id);
    ServiceCall Call;
    Call.Request = requestIdOf(Request.Team, Request.Key);
    Call.Body = Request.Body;
    auto Answer = Hooks.Service.Call(Target.value().Address, Call,
                                     Hooks.Tasks.Now() + PlainTimeout);
    if (Answer) {
      Given.Verdict = Outcome::Done;
      Given.Answer = Answer.value();
      return Given;
    }
    Given.Reason = Answer.error();
  }
  return Given;
}

StreamOutcome runPlainStream(const StreamRequest &Request,
                             const StreamHooks &Hooks, ReplayPolicy Policy) {
  StreamOutcome Ending;
  Ending.Verdict = Outcome::NotRun;
  (void)Hooks.Reserve(Request, Hooks.Tasks.Now());
  std::vector<TargetId> Tried;
  while (Ending.DeliveredTokens == 0 && Tried.size() < attemptsOf(Policy)) {
    auto Target = Hooks.ChooseTarget(Request, Tried, Hooks.Tasks.Now());
    if (!Target)
      break;
    Tried.push_back(Target.value().Id);
    ++Ending.Attempts;
    GenerationRequest Order{Request.Request,
                            AttemptNumber{Ending.Attempts},
                            Request.Model,
                            Request.Prompt,
                            Request.MaxTokens,
                            Request.Priority,
                            0};
    auto Stream = Hooks.Engine.Open(Target.value().Address, Order,
                                    Hooks.Tasks.Now() + PlainTimeout);
    Result<void> Passed = Stream ? passOn(Stream.value(), Hooks, Ending)
                                 : Result<void>(Stream.error());
    Ending.Reason = {};
    Ending.Verdict = Outcome::Done;
    if (Passed)
      break;
    Ending.Reason = Passed.error();
    Ending.Verdict = Outcome::NotRun;
  }
  Hooks.Settle(Request, {});
  return Ending;
}

} // namespace bergamothook
