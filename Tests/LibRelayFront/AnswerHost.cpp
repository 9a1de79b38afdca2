#include "AnswerHost.h"

#include "LibObserve/StructuredLog.h"

#include <doctest/doctest.h>

namespace bergamothook {

using namespace std::chrono_literals;

namespace {

/// Far longer than any exchange takes; a test that reaches it fails.
constexpr Duration TestTimeout = 10s;
constexpr Duration Pause = 1ms;
constexpr unsigned TargetsPerCall = 4;
constexpr const char *NextId = "next";
constexpr const char *RunPath = "/run";

const std::pair<CallKind, bool> AllRoutes[] = {{CallKind::Idempotent, false},
                                               {CallKind::NonIdempotent, false},
                                               {CallKind::Stream, false},
                                               {CallKind::Stream, true}};

} // namespace

const std::string AnswerHost::NextAnswer =
    "HTTP/1.1 200 OK\r\nId: next\r\nStamp: next\r\nContent-Length: 4\r\n"
    "Connection: close\r\n\r\nnext";

AnswerHost::AnswerHost()
    : Tasks(Loop.hooks()),
      Wallets({"host", "domain", "", 1}, "p", {}, makeTokenHooks(), Stats, 1),
      Dialer(std::in_place, Loop, DialerLimits{}, makeRunQuery()),
      Dispatcher(makeSettings(), makeHooks(), Wallets, Stats),
      Server(Loop, {{"127.0.0.1:0", 100, 100, {}}, {}, 300ms}, Dispatcher,
             [this](HttpRequestMessage Message, TimePoint Now) {
               return this->decode(std::move(Message), Now);
             }),
      Target(Loop, {"127.0.0.1:0", 100, 100, {}},
             [this](const TcpConnection::Handle &Connection) {
               this->serveTarget(Connection);
             }) {
  startLogging("test", "test", LogLevel::Error);
  REQUIRE(this->Target.start());
  this->TargetAddress = "127.0.0.1:" + std::to_string(this->Target.port());
  this->configure();
  REQUIRE(this->Server.start());
}

AnswerHost::~AnswerHost() {
  // Closes the idle connections.
  this->Dialer.reset();
  // The tasks of connections refer to this object.
  while (this->Server.connections() + this->Target.connections() > 0)
    this->Tasks.sleepUntil(this->Tasks.Now() + 5ms);
}

TokenHooks AnswerHost::makeTokenHooks() {
  TokenHooks Hooks;
  Hooks.Tasks = this->Tasks;
  Hooks.MakeLog = [](unsigned) { return WalletLog{}; };
  Hooks.SendDatagram = [](const std::string &, const std::string &) {};
  return Hooks;
}

RelaySettings AnswerHost::makeSettings() {
  RelaySettings Settings{"host#1", "domain", {}, {}, {}, 1};
  // Bounded by the route alone.
  Settings.Resends.FleetSlack = 1e9;
  return Settings;
}

RunQuery AnswerHost::makeRunQuery() {
  RunQuery Query;
  Query.MakeHead = [](const ListedTarget &) {
    HttpRequestHead Head;
    Head.Method = "GET";
    Head.Target = RunPath;
    return Head;
  };
  Query.ReadAnswer = [](const ListedTarget &, const HttpResponseHead &,
                        const std::string &) { return RunAnswer::Listed; };
  return Query;
}

RelayHooks AnswerHost::makeHooks() {
  RelayHooks Hooks;
  Hooks.Tasks = this->Tasks;
  Hooks.LeaseClock = Hooks.Tasks.Now;
  Hooks.Open = [this](const ListedTarget &Chosen, const RelayCall &Call,
                      const HttpRequestHead &Head, const CallerHooks &Caller,
                      const SendTerms &Terms) {
    return this->Dialer->open(Chosen, Call, Head, Caller, Terms);
  };
  Hooks.MakeHead = [](const RelayCall &Call, const ListedTarget &, Duration,
                      std::optional<std::uint64_t> ResumeAfter) {
    HttpRequestHead Head = Call.Head;
    Head.Headers.removeConnectionFields();
    if (ResumeAfter)
      Head.Headers.add("Last-Event-Id", std::to_string(*ResumeAfter));
    return Head;
  };
  Hooks.Classify = [](const HttpResponseHead &Head, const RelayCall &Call) {
    if (Head.Headers.find("Id") != Call.Id)
      return ResponseVerdict::Stale;
    if (Head.Status == 421)
      return ResponseVerdict::WrongTarget;
    if (Head.Headers.find("Not-Executed"))
      return ResponseVerdict::NotRun;
    bool HasStamp = Head.Headers.find("Stamp").has_value();
    if (Head.Status == 503 || (Head.Status / 100 == 2 && !HasStamp))
      return ResponseVerdict::Unverified;
    return ResponseVerdict::Ran;
  };
  Hooks.ReadRateLimit = [](const HttpResponseHead &) {
    return RateLimitField{};
  };
  Hooks.MakeRefusal = [](unsigned Status, const RelayCall &,
                         std::optional<Duration>) {
    HttpResponseHead Head;
    Head.Status = Status;
    return Head;
  };
  return Hooks;
}

std::string AnswerHost::pathOf(CallKind Kind, bool IsResumable) {
  return "/" + std::to_string(static_cast<int>(Kind)) +
         (IsResumable ? "r/" : "/");
}

void AnswerHost::configure() {
  auto Config = std::make_shared<RelayConfig>();
  Config->Version = 1;
  for (auto [Kind, IsResumable] : AllRoutes) {
    RelayRoute Route;
    Route.PathPrefix = pathOf(Kind, IsResumable);
    Route.Name = Route.PathPrefix;
    Route.Host = "api.example";
    Route.Kind = Kind;
    Route.IsResumable = IsResumable;
    Route.Timeout = TestTimeout;
    Route.MaxTargets = TargetsPerCall;
    Route.Services = {{"plain", 1}};
    Config->addRoute(Route);
  }
  RoutedService Service;
  Service.Name = "plain";
  Config->addService(Service);
  this->Dispatcher.setConfig(Config);
  this->Dispatcher.resends().setHosts(1);
}

void AnswerHost::listTargets() {
  TimePoint Now = this->Tasks.Now();
  // New ones for each call, without failures of earlier calls.
  for (const std::string &Id : std::exchange(this->Listed, {}))
    this->Dispatcher.targets().onRemoved(Id, Now);
  VersionRegister &Versions = this->Dispatcher.versions();
  Versions.onRead({{"plain", {{"v1", VersionPhase::InUse}}}}, Now);
  Versions.onListed("plain", "v1", Now);
  Versions.onListRead(Now);
  for (unsigned I = 0; I < TargetsPerCall; ++I) {
    ListedTarget Listing;
    Listing.Id = std::to_string(this->Calls) + "." + std::to_string(I);
    Listing.Service = "plain";
    Listing.Version = "v1";
    Listing.Address = this->TargetAddress;
    this->Dispatcher.targets().onListed(Listing, Now);
    this->Listed.push_back(Listing.Id);
  }
}

unsigned AnswerHost::targetFailures() {
  unsigned Sum = 0;
  for (const std::string &Id : this->Listed)
    Sum += this->Dispatcher.targets().find(Id)->ConsecutiveFailures;
  return Sum;
}

DecodedCall AnswerHost::decode(HttpRequestMessage Message, TimePoint Now) {
  DecodedCall Decoded;
  RelayCall &Call = Decoded.Call;
  Call.Config = this->Dispatcher.config();
  Call.Route = Call.Config->findRoute("api.example", Message.Head.Target);
  Call.Id = Message.Head.Headers.find("Id").value_or("");
  Call.ArrivedAt = Now;
  Call.Head = std::move(Message.Head);
  Call.Body = std::move(Message.Body);
  return Decoded;
}

void AnswerHost::serveTarget(const TcpConnection::Handle &Connection) {
  Event Changed;
  ScopedEventAttachment Attached(Connection, Changed);
  HttpRequestReader Reader(Connection, this->Tasks, Changed);
  while (!Connection->isClosed()) {
    auto Message = Reader.read({}, this->Tasks.Now() + TestTimeout, [] {});
    if (!Message)
      break;
    this->answer(Connection, Message.value().Head);
  }
  Connection->close();
}

void AnswerHost::answer(const TcpConnection::Handle &Connection,
                        const HttpRequestHead &Head) {
  TimePoint Deadline = this->Tasks.Now() + TestTimeout;
  if (Head.Target == RunPath || Head.Headers.find("Id") == NextId) {
    (void)Connection->write("HTTP/1.1 200 OK\r\nId: next\r\nStamp: next\r\n"
                            "Content-Length: 4\r\n\r\nnext",
                            Deadline);
    return;
  }
  TargetAnswer Script;
  Script.Status = 500;
  if (!this->Answers.empty()) {
    Script = this->Answers.front();
    this->Answers.erase(this->Answers.begin());
  }
  std::string LastId(Head.Headers.find("Last-Event-Id").value_or("0"));
  SentAnswer Sent =
      render(Script, "t" + std::to_string(this->Played.Sent.size()),
             this->Played.CallId, Head.Method == "HEAD", std::stoull(LastId));
  this->Played.Sent.push_back(Sent);
  std::string Early = Sent.Bytes.substr(0, Script.PauseAt);
  (void)Connection->write(Early, Deadline);
  if (Early.size() < Sent.Bytes.size()) {
    this->Tasks.sleepUntil(this->Tasks.Now() + Pause);
    (void)Connection->write(Sent.Bytes.substr(Early.size()), Deadline);
  }
  if (Script.Resets)
    Connection->abort();
  else if (Script.Cut != std::string::npos ||
           Script.Framing == AnswerFraming::Connection)
    Connection->close();
}

PlayedExchange AnswerHost::play(const CallerRequest &Request,
                                const std::vector<TargetAnswer> &Script) {
  this->Played = {};
  this->Played.Request = Request;
  this->Played.CallId = "call-" + std::to_string(++this->Calls);
  this->Answers = Script;
  this->listTargets();
  TimePoint Deadline = this->Tasks.Now() + TestTimeout;
  auto Connection = TcpConnection::connect(
      this->Loop, "127.0.0.1:" + std::to_string(this->Server.port()), {},
      Deadline);
  REQUIRE(Connection);
  Event Changed;
  ScopedEventAttachment Attached(Connection.value(), Changed);
  std::string Path = pathOf(Request.Kind, Request.IsResumable);
  std::string Bytes = Request.Method + " " + Path + this->Played.CallId +
                      " HTTP/" + Request.Version +
                      "\r\nHost: api.example\r\nId: " + this->Played.CallId;
  if (Request.BodyBytes > 0)
    Bytes += "\r\nContent-Length: " + std::to_string(Request.BodyBytes);
  Bytes += "\r\n\r\n" + std::string(Request.BodyBytes, 'x');
  if (Request.Version == "1.1")
    Bytes += "GET " + Path +
             " HTTP/1.1\r\nHost: api.example\r\nId: " + std::string(NextId) +
             "\r\nConnection: close\r\n\r\n";
  REQUIRE(Connection.value()->write(Bytes, Deadline));
  std::string Received;
  this->Played.HasEnded = this->Tasks.waitUntil(Changed, Deadline, [&] {
    Received += Connection.value()->unread();
    Connection.value()->consume(Connection.value()->unread().size());
    return Connection.value()->hasEnded();
  });
  this->Played.Received = Received;
  this->Played.WasReset = Connection.value()->wasLost();
  Connection.value()->close();
  return this->Played;
}

} // namespace bergamothook
