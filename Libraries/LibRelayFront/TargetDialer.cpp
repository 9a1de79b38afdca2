#include "LibRelayFront/TargetDialer.h"

#include "LibNet/HttpReader.h"

#include <charconv>

namespace bergamothook {

namespace {

constexpr Duration ExpiryInterval = std::chrono::milliseconds(500);

/// Parses the idle timeout in the Keep-Alive header field of a server.
std::optional<Duration> parseKeepAliveTimeout(const HeaderList &Headers) {
  auto Value = Headers.find("Keep-Alive");
  if (!Value)
    return std::nullopt;
  constexpr std::string_view Parameter = "timeout=";
  std::size_t At = Value->find(Parameter);
  if (At == std::string_view::npos)
    return std::nullopt;
  At += Parameter.size();
  unsigned Seconds = 0;
  auto Parsed = std::from_chars(Value->data() + At,
                                Value->data() + Value->size(), Seconds);
  if (Parsed.ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

} // namespace

namespace detail {

/// The connection of one exchange and its response reader. Closes the
/// connection unless the exchange finished.
struct ExchangeState {
  ExchangeState(TcpConnection::Handle Connection, const Runtime &Tasks,
                const CallerHooks &Caller, bool HasNoBody)
      : Connection(Connection), Tasks(Tasks), Changed(*Caller.Changed),
        IsGivenUp([Caller] { return Caller.isGivenUp(); }),
        HasNoBody(HasNoBody) {
    this->Connection->attach(&this->Changed);
    this->nextResponse();
  }

  ~ExchangeState() { this->abort(); }

  void nextResponse() {
    this->Reader.emplace(this->Connection, this->Tasks, this->Changed,
                         this->HasNoBody);
  }

  void abort() {
    if (this->IsFinished)
      return;
    this->IsFinished = true;
    this->Connection->attach(nullptr);
    this->Connection->abort();
  }

  void finish(HttpConnectionPool &Pool, const std::string &Address) {
    if (this->IsFinished)
      return;
    // A target that answered before it received the whole body would treat the
    // next request as the rest of that body.
    if (!this->Reader->canReuse() || this->Connection->unsent() > 0)
      return this->abort();
    this->IsFinished = true;
    this->Connection->attach(nullptr);
    Pool.release(Address, this->Connection, this->ServerIdleTime,
                 this->Tasks.Now());
  }

  TcpConnection::Handle Connection;
  Runtime Tasks;
  Event &Changed;
  std::function<bool()> IsGivenUp;
  bool HasNoBody;
  std::optional<HttpResponseReader> Reader;
  std::optional<Duration> ServerIdleTime;
  bool IsFinished = false;
};

} // namespace detail

using detail::ExchangeState;

TargetDialer::TargetDialer(NetRuntime &Loop, DialerLimits Limits,
                           RunQuery Query)
    : Loop(Loop), Tasks(Loop.hooks()), Limits(Limits), Query(std::move(Query)),
      Idle(Limits.Pool) {}

Result<TcpConnection::Handle>
TargetDialer::connect(const ListedTarget &Target, const RelayCall &Call,
                      const CallerHooks &Caller, TimePoint Deadline,
                      const std::function<bool()> &IsGivenUp) {
  bool MayRepeat = Call.Route->Kind == CallKind::Idempotent;
  Duration MaxIdle = MayRepeat ? this->Limits.Pool.IdleTime
                               : this->Limits.MaxIdleForNonIdempotent;
  // An answer to a call without an identifier can't be told from a late one to
  // an earlier call.
  while (!Call.Id.empty()) {
    auto Reused =
        this->Idle.acquire(Target.Address, MaxIdle, this->Tasks.Now());
    if (!Reused)
      break;
    if (!this->Refusals.find(refusalKey(Reused, Call)))
      return Reused;
    Reused->close();
  }
  ++this->ConnectionsMade;
  TcpLimits Limits = this->Limits.Connection;
  Limits.Owners = {Target.memoryOwner()};
  return TcpConnection::connect(
      this->Loop, Target.Address, std::move(Limits),
      std::min(Deadline, this->Tasks.Now() + this->Limits.ConnectTimeout),
      *Caller.Changed, IsGivenUp);
}

std::uint64_t TargetDialer::refusalKey(const TcpConnection::Handle &Connection,
                                       const RelayCall &Call) {
  // A new connection may have the address of a closed one, which costs no more
  // than another connection.
  return hash64(Call.Id, reinterpret_cast<std::uintptr_t>(Connection.get()));
}

Result<TargetExchange> TargetDialer::open(const ListedTarget &Target,
                                          const RelayCall &Call,
                                          const HttpRequestHead &Head,
                                          const CallerHooks &Caller,
                                          const SendTerms &Terms) {
  // The host may begin to stop, or the target may be taken out of use, while
  // the call waits here.
  auto IsGivenUp = [&Caller, &Terms, MayRepeat = Call.mayRepeat()] {
    return Caller.isSendGivenUp(Terms.Deadline, MayRepeat) ||
           !Terms.MayReceive();
  };
  BOOST_OUTCOME_TRY(
      State, this->connectToRun(Target, Call, Head, Caller, Terms, IsGivenUp));
  if (IsGivenUp())
    return NetError::ConnectFailed;
  TcpConnection::Handle Connection = State->Connection;
  std::uint64_t SentBefore = Connection->bytesSent();
  auto Written = Connection->writeMessage(
      formatRequestHead(Head, Call.Body.size()), Call.Body, Terms.Deadline,
      [&Caller] { return Caller.isGivenUp(); });
  if (!Written) {
    if (Connection->bytesSent() == SentBefore)
      return NetError::ConnectFailed;
    // A target may answer before it has read the request, and close.
    bool MayBeAnswered =
        Written.error() == NetError::Reset && !Connection->unread().empty();
    if (!MayBeAnswered)
      return Written.error();
  }
  TargetExchange Exchange;
  Exchange.ReadHead = [State](TimePoint Until) -> Result<HttpResponseHead> {
    BOOST_OUTCOME_TRY(Answer, State->Reader->readHead(Until, State->IsGivenUp));
    State->ServerIdleTime = parseKeepAliveTimeout(Answer.Headers);
    return Answer;
  };
  Exchange.ReadBody = [State](TimePoint Until) {
    return State->Reader->readBody(Until, State->IsGivenUp);
  };
  Exchange.NextResponse = [State] { State->nextResponse(); };
  bool HasId = !Call.Id.empty();
  Exchange.Finish = [this, State, HasId, Address = Target.Address] {
    if (HasId)
      State->finish(this->Idle, Address);
    else
      State->abort();
  };
  Exchange.FinishRefused = [this, Key = refusalKey(Connection, Call),
                            Finish = Exchange.Finish] {
    this->Refusals.set(Key, true);
    Finish();
  };
  Exchange.Abort = [State] { State->abort(); };
  return Exchange;
}

Result<std::shared_ptr<ExchangeState>>
TargetDialer::connectToRun(const ListedTarget &Target, const RelayCall &Call,
                           const HttpRequestHead &Head,
                           const CallerHooks &Caller, const SendTerms &Terms,
                           const std::function<bool()> &IsGivenUp) {
  auto Connect = [&]() -> Result<std::shared_ptr<ExchangeState>> {
    BOOST_OUTCOME_TRY(Connection, this->connect(Target, Call, Caller,
                                                Terms.Deadline, IsGivenUp));
    return std::make_shared<ExchangeState>(Connection, this->Tasks, Caller,
                                           Head.Method == "HEAD");
  };
  BOOST_OUTCOME_TRY(State, Connect());
  TcpConnection &Connection = *State->Connection;
  if (Connection.peer() == Target.runKey())
    return State;
  RunCheck Check = Terms.CheckRun(this->Tasks.Now() - Connection.createdAt());
  if (Check == RunCheck::None || IsGivenUp())
    return State;
  switch (this->askRun(*State, Target, Terms.Deadline, IsGivenUp)) {
  case RunAnswer::Listed:
    Connection.setPeer(Target.runKey());
    return State;
  case RunAnswer::Other:
    return NetError::UnexpectedPeer;
  case RunAnswer::Unknown:
    break;
  }
  if (IsGivenUp())
    return NetError::ConnectFailed;
  if (Check == RunCheck::OnlyListed)
    return NetError::UnexpectedPeer;
  // The rest of the answer may still arrive on the first connection.
  State->abort();
  return Connect();
}

RunAnswer TargetDialer::askRun(ExchangeState &State, const ListedTarget &Target,
                               TimePoint Deadline,
                               const std::function<bool()> &IsGivenUp) {
  ++this->RunQueries;
  TimePoint End =
      std::min(Deadline, this->Tasks.Now() + this->Limits.RunQueryTimeout);
  HttpResponseReader Reader(State.Connection, this->Tasks, State.Changed,
                            false);
  auto Ask = [&]() -> Result<RunAnswer> {
    BOOST_OUTCOME_TRYV(State.Connection->write(
        formatRequestHead(this->Query.MakeHead(Target), 0), End, IsGivenUp));
    BOOST_OUTCOME_TRY(Head, Reader.readHead(End, IsGivenUp));
    BOOST_OUTCOME_TRY(
        Body, Reader.readAll(this->Limits.MaxRunAnswerBytes, End, IsGivenUp));
    return this->Query.ReadAnswer(Target, Head, Body);
  };
  auto Answer = Ask();
  return Answer && Reader.canReuse() ? Answer.value() : RunAnswer::Unknown;
}

std::optional<HttpResponseHead>
TargetDialer::ask(const ListedTarget &Target, const HttpRequestHead &Head,
                  const CallerHooks &Caller, TimePoint Deadline,
                  const std::function<bool()> &IsGivenUp) {
  TimePoint End =
      std::min(Deadline, this->Tasks.Now() + this->Limits.HealthTimeout);
  TcpLimits Limits = this->Limits.Connection;
  Limits.Owners = {Target.memoryOwner()};
  auto Connection =
      TcpConnection::connect(this->Loop, Target.Address, std::move(Limits), End,
                             *Caller.Changed, IsGivenUp);
  if (!Connection)
    return std::nullopt;
  ExchangeState State(Connection.value(), this->Tasks, Caller, false);
  if (IsGivenUp())
    return std::nullopt;
  if (!State.Connection->write(formatRequestHead(Head, 0), End, IsGivenUp))
    return std::nullopt;
  auto Answer = State.Reader->readHead(End, IsGivenUp);
  if (!Answer)
    return std::nullopt;
  return std::move(Answer.value());
}

bool TargetDialer::probe(const ListedTarget &Target, TimePoint Deadline) {
  TcpLimits Limits = this->Limits.Connection;
  Limits.Owners = {Target.memoryOwner()};
  auto Connection = TcpConnection::connect(this->Loop, Target.Address,
                                           std::move(Limits), Deadline);
  if (!Connection)
    return false;
  Connection.value()->close();
  return true;
}

void TargetDialer::runExpiry(const std::function<bool()> &IsStopped) {
  while (!IsStopped()) {
    this->Idle.closeExpired(this->Tasks.Now());
    this->Tasks.sleepUntil(this->Tasks.Now() + ExpiryInterval);
  }
}

} // namespace bergamothook
