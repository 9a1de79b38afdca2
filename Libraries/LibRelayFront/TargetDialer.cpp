#include "LibRelayFront/TargetDialer.h"

#include "LibNet/HttpReader.h"

#include <charconv>

namespace bergamothook {

namespace {

constexpr Duration ExpiryInterval = std::chrono::milliseconds(500);

/// Reads the idle time that a server states in its Keep-Alive field.
std::optional<Duration> keepAliveOf(const HeaderList &Headers) {
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

/// The connection of one exchange, and what has been read from it. Closes the
/// connection unless the exchange ended well.
struct ExchangeState {
  ExchangeState(TcpConnection::Handle Connection, const Runtime &Tasks,
                const CallerSide &Caller, bool HasNoBody)
      : Connection(Connection), Tasks(Tasks), Changed(*Caller.Changed),
        HasLeft(Caller.HasLeft), HasNoBody(HasNoBody) {
    this->Connection->attach(&this->Changed);
    this->nextResponse();
  }

  ~ExchangeState() { this->abort(); }

  void nextResponse() {
    this->Reader.emplace(this->Connection, this->Tasks, this->Changed,
                         this->HasNoBody);
  }

  void abort() {
    if (this->IsOver)
      return;
    this->IsOver = true;
    this->Connection->attach(nullptr);
    this->Connection->abort();
  }

  void finish(HttpConnectionPool &Pool, const std::string &Address) {
    if (this->IsOver)
      return;
    // A target that answered before it had the whole body would take what
    // comes next for the rest of it.
    if (!this->Reader->canReuse() || this->Connection->unsent() > 0)
      return this->abort();
    this->IsOver = true;
    this->Connection->attach(nullptr);
    Pool.release(Address, this->Connection, this->ServerIdleTime,
                 this->Tasks.Now());
  }

  TcpConnection::Handle Connection;
  Runtime Tasks;
  Event &Changed;
  std::function<bool()> HasLeft;
  bool HasNoBody;
  std::optional<HttpResponseReader> Reader;
  std::optional<Duration> ServerIdleTime;
  bool IsOver = false;
};

} // namespace

TargetDialer::TargetDialer(NetRuntime &Loop, DialerLimits Limits)
    : Loop(Loop), Tasks(Loop.hooks()), Limits(Limits), Idle(Limits.Pool) {}

Result<TcpConnection::Handle> TargetDialer::connect(const ListedTarget &Target,
                                                    const RelayCall &Call,
                                                    TimePoint Deadline) {
  bool MayRepeat = Call.Route->Kind == CallKind::Idempotent;
  Duration MaxIdle =
      MayRepeat ? this->Limits.Pool.IdleTime : this->Limits.MaxIdleForSingleRun;
  if (auto Kept =
          this->Idle.acquire(Target.Address, MaxIdle, this->Tasks.Now()))
    return Kept;
  ++this->Made;
  return TcpConnection::connect(
      this->Loop, Target.Address, this->Limits.Connection,
      std::min(Deadline, this->Tasks.Now() + this->Limits.ConnectTimeout));
}

Result<TargetExchange> TargetDialer::open(const ListedTarget &Target,
                                          const RelayCall &Call,
                                          const HttpRequestHead &Head,
                                          const CallerSide &Caller,
                                          TimePoint Deadline) {
  BOOST_OUTCOME_TRY(Connection, this->connect(Target, Call, Deadline));
  auto State = std::make_shared<ExchangeState>(Connection, this->Tasks, Caller,
                                               Head.Method == "HEAD");
  if (Caller.HasLeft())
    return NetError::ConnectFailed;
  std::uint64_t SentBefore = Connection->bytesSent();
  std::string Message = formatRequestHead(Head, Call.Body.size());
  Message += Call.Body;
  if (auto Written = Connection->write(Message, Deadline); !Written) {
    if (Connection->bytesSent() == SentBefore)
      return NetError::ConnectFailed;
    return Written.error();
  }
  TargetExchange Exchange;
  Exchange.ReadHead = [State](TimePoint Until) -> Result<HttpResponseHead> {
    BOOST_OUTCOME_TRY(Answer, State->Reader->readHead(Until, State->HasLeft));
    State->ServerIdleTime = keepAliveOf(Answer.Headers);
    return Answer;
  };
  Exchange.ReadBody = [State](TimePoint Until) {
    return State->Reader->readBody(Until, State->HasLeft);
  };
  Exchange.NextResponse = [State] { State->nextResponse(); };
  Exchange.Finish = [this, State, Address = Target.Address] {
    State->finish(this->Idle, Address);
  };
  Exchange.Abort = [State] { State->abort(); };
  return Exchange;
}

void TargetDialer::runExpiry(const std::function<bool()> &IsStopped) {
  while (!IsStopped()) {
    this->Idle.closeExpired(this->Tasks.Now());
    this->Tasks.sleepUntil(this->Tasks.Now() + ExpiryInterval);
  }
}

} // namespace bergamothook
