#include "Rig.h"

#include "../../Tests/Platform/RouteEntry.h"
#include "../../platform/WireNames.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace bergamothook::review {

namespace wire = platform::wire;
using nlohmann::json;

const char *const RouteHost = "shop.example";

namespace {

constexpr std::uint16_t FrontPort = 8227;
constexpr std::uint16_t ReadyPort = 8220;
constexpr double HeartbeatSeconds = 1.2;
constexpr std::string_view StorePrefix = "/-/";

std::chrono::steady_clock::time_point startOfProgram() {
  static const auto Start = std::chrono::steady_clock::now();
  return Start;
}

sockaddr_in addressOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = inet_addr(Ip.c_str());
  return Address;
}

std::string lowerCase(std::string_view Text) {
  std::string Out(Text);
  std::transform(Out.begin(), Out.end(), Out.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  return Out;
}

std::string trim(std::string_view Text) {
  while (Text.starts_with(' '))
    Text.remove_prefix(1);
  while (Text.ends_with(' '))
    Text.remove_suffix(1);
  return std::string(Text);
}

std::string field(std::string_view Name, std::string_view Value) {
  return std::string(Name) + ": " + std::string(Value) + "\r\n";
}

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Out;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>(Value >> Shift));
  return Out;
}

std::uint64_t readBigEndian(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (char Byte : Bytes)
    Value = Value << 8 | static_cast<unsigned char>(Byte);
  return Value;
}

std::string encodeBase64(std::string_view Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::string_view Group = Bytes.substr(At, 3);
    std::uint64_t Value = readBigEndian(Group) << 8 * (3 - Group.size());
    for (std::size_t I = 0; I < 4; ++I)
      Out.push_back(I <= Group.size() ? Digits[Value >> (18 - 6 * I) & 63]
                                      : '=');
  }
  return Out;
}

/// Decodes the percent-encoding of a query.
std::string unescape(const std::string &Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%') {
      Out.push_back(static_cast<char>(
          std::strtoul(Text.substr(I + 1, 2).c_str(), nullptr, 16)));
      I += 2;
    } else {
      Out.push_back(Text[I]);
    }
  }
  return Out;
}

/// All relays that run, so that none is left behind.
std::set<pid_t> &runningRelays() {
  static std::set<pid_t> Running;
  return Running;
}

std::mutex &relayLock() {
  static std::mutex Lock;
  return Lock;
}

void killRelays() {
  std::lock_guard Guard(relayLock());
  for (pid_t Process : runningRelays()) {
    ::kill(Process, SIGKILL);
    waitpid(Process, nullptr, 0);
  }
  runningRelays().clear();
}

/// The case took too long, or was stopped from outside.
void onStopSignal(int) {
  constexpr int CouldNotRun = 2;
  for (pid_t Process : runningRelays())
    ::kill(Process, SIGKILL);
  std::_Exit(CouldNotRun);
}

} // namespace

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       startOfProgram())
      .count();
}

void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

void Record::add(const std::string &Line, bool IsResult) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%9.3f ", now());
  std::lock_guard Guard(this->Lock);
  this->File << Time << Line << std::endl;
  if (IsResult)
    std::cout << Line << std::endl;
}

std::optional<std::string> HttpMessage::find(std::string_view Name) const {
  for (const auto &[Key, Value] : this->Fields)
    if (lowerCase(Key) == lowerCase(Name))
      return Value;
  return std::nullopt;
}

std::string HttpMessage::path() const {
  std::size_t Begin = this->FirstLine.find(' ') + 1;
  return this->FirstLine.substr(Begin,
                                this->FirstLine.find(' ', Begin) - Begin);
}

int HttpMessage::status() const {
  return std::atoi(this->FirstLine.c_str() + this->FirstLine.find(' ') + 1);
}

Channel::~Channel() { ::close(this->Socket); }

std::unique_ptr<Channel> Channel::connect(const std::string &Ip,
                                          std::uint16_t Port,
                                          int ReceiveBufferBytes) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBufferBytes > 0)
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  sockaddr_in To = addressOf(Ip, Port);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
    ::close(Socket);
    return nullptr;
  }
  return std::make_unique<Channel>(Socket);
}

void Channel::setTimeout(double Seconds) {
  timeval Timeout{static_cast<time_t>(Seconds), 0};
  setsockopt(this->Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
}

std::string Channel::readSome(std::size_t Max) {
  if (!this->Buffer.empty()) {
    std::string Out = this->Buffer.substr(0, Max);
    this->Buffer.erase(0, Out.size());
    return Out;
  }
  std::string Out(Max, '\0');
  ssize_t Count = ::recv(this->Socket, Out.data(), Out.size(), 0);
  Out.resize(static_cast<std::size_t>(std::max<ssize_t>(0, Count)));
  return Out;
}

bool Channel::receive() {
  char Bytes[16384];
  ssize_t Count = ::recv(this->Socket, Bytes, sizeof(Bytes), 0);
  if (Count <= 0)
    return false;
  this->Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

bool Channel::readLine(std::string &Line) {
  std::size_t End = 0;
  while ((End = this->Buffer.find("\r\n")) == std::string::npos)
    if (!this->receive())
      return false;
  Line = this->Buffer.substr(0, End);
  this->Buffer.erase(0, End + 2);
  return true;
}

bool Channel::readExactly(std::size_t Bytes, std::string &Out) {
  while (this->Buffer.size() < Bytes)
    if (!this->receive())
      return false;
  Out = this->Buffer.substr(0, Bytes);
  this->Buffer.erase(0, Bytes);
  return true;
}

std::optional<HttpMessage> Channel::readHead() {
  HttpMessage Message;
  if (!this->readLine(Message.FirstLine))
    return std::nullopt;
  for (std::string Line;;) {
    if (!this->readLine(Line))
      return std::nullopt;
    if (Line.empty())
      return Message;
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      return std::nullopt;
    Message.Fields.emplace_back(Line.substr(0, Colon),
                                trim(Line.substr(Colon + 1)));
  }
}

bool Channel::readBody(HttpMessage &Message) {
  if (lowerCase(Message.find("Transfer-Encoding").value_or("")) == "chunked") {
    for (;;) {
      auto Chunk = this->readChunk();
      if (!Chunk)
        return false;
      if (Chunk->empty())
        return true;
      Message.Body += *Chunk;
    }
  }
  return this->readExactly(
      std::stoul(Message.find("Content-Length").value_or("0")), Message.Body);
}

std::optional<HttpMessage> Channel::readMessage() {
  auto Message = this->readHead();
  if (!Message || !this->readBody(*Message))
    return std::nullopt;
  return Message;
}

std::optional<std::string> Channel::readChunk() {
  std::string Line;
  if (!this->readLine(Line))
    return std::nullopt;
  std::string Bytes;
  std::string End;
  if (!this->readExactly(std::strtoul(Line.c_str(), nullptr, 16), Bytes) ||
      !this->readExactly(2, End))
    return std::nullopt;
  return Bytes;
}

bool Channel::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Count =
        ::send(this->Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

std::optional<std::size_t> Channel::sendNow(std::string_view Bytes) {
  ssize_t Count = ::send(this->Socket, Bytes.data(), Bytes.size(),
                         MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Count < 0 && errno != EAGAIN)
    return std::nullopt;
  return static_cast<std::size_t>(std::max<ssize_t>(0, Count));
}

void Channel::reset() {
  linger Now{1, 0};
  setsockopt(this->Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  // Wakes the thread that reads; its close() sends the reset.
  ::shutdown(this->Socket, SHUT_RD);
}

Listener::Listener(Serve Handler, std::uint16_t WantedPort) {
  this->Shared->Handler = std::move(Handler);
  this->Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(this->Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At = addressOf("127.0.0.1", WantedPort);
  socklen_t Bytes = sizeof(At);
  if (::bind(this->Socket, reinterpret_cast<sockaddr *>(&At), Bytes) != 0 ||
      ::listen(this->Socket, 512) != 0 ||
      ::getsockname(this->Socket, reinterpret_cast<sockaddr *>(&At), &Bytes) !=
          0)
    throw std::runtime_error("a port of a stand-in can't be opened");
  this->Port = ntohs(At.sin_port);
  std::thread([Shared = this->Shared, Socket = this->Socket] {
    for (;;) {
      int Accepted = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0 && errno != EINTR && errno != ECONNABORTED)
        return;
      if (Accepted < 0)
        continue;
      int NoDelay = 1;
      setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof(NoDelay));
      std::thread([Shared, Accepted] {
        Channel Connection(Accepted);
        {
          std::lock_guard Guard(Shared->Lock);
          Shared->Open.insert(&Connection);
        }
        if (!Shared->IsStopped)
          Shared->Handler(Connection);
        std::lock_guard Guard(Shared->Lock);
        Shared->Open.erase(&Connection);
        if (Shared->IsStopped)
          Connection.reset();
      }).detach();
    }
  }).detach();
}

void Listener::crash() {
  this->Shared->IsStopped = true;
  // Wakes the thread that accepts.
  ::shutdown(this->Socket, SHUT_RDWR);
  ::close(this->Socket);
  std::lock_guard Guard(this->Shared->Lock);
  for (Channel *Each : this->Shared->Open)
    Each->reset();
}

std::size_t Store::open() {
  auto Opened = std::make_unique<Port>();
  Port &At = *Opened;
  At.Server = std::make_unique<Listener>(
      [this, &At](Channel &Connected) { this->serve(Connected, At); });
  this->Ports.push_back(std::move(Opened));
  return this->Ports.size() - 1;
}

std::string Store::address(std::size_t Number) const {
  return "127.0.0.1:" + std::to_string(this->Ports[Number]->Server->port());
}

void Store::setSilent(std::size_t Number, bool IsSilent) {
  this->Ports[Number]->IsSilent = IsSilent;
}

void Store::put(std::string_view Topic, const std::string &Key,
                const std::string &Value) {
  std::lock_guard Guard(this->Lock);
  this->Topics[std::string(Topic) + "/0"].add(bigEndian(Key.size(), 1) + Key +
                                              Value);
  this->Changed.notify_all();
}

void Store::putConfig(const json &Config) {
  this->put(wire::OperatorTopic, std::string(wire::ConfigKey), Config.dump());
}

void Store::serve(Channel &Connected, Port &At) {
  while (auto Request = Connected.readMessage()) {
    Answer Outgoing;
    if (!At.IsSilent)
      Outgoing = this->answer(*Request, At);
    // A call that is not answered while the store is silent never is.
    while (At.IsSilent)
      sleepFor(0.05);
    if (Outgoing.Body.empty() && Outgoing.Status == 200)
      return;
    if (!Connected.send("HTTP/1.1 " + std::to_string(Outgoing.Status) +
                        " Status\r\nContent-Length: " +
                        std::to_string(Outgoing.Body.size()) + "\r\n\r\n" +
                        Outgoing.Body))
      return;
  }
}

Store::Answer Store::answer(const HttpMessage &Request, const Port &At) {
  std::string Whole = Request.path();
  std::string Path = Whole.substr(0, Whole.find('?'));
  Query Fields;
  for (std::size_t Begin = Whole.find('?'); Begin != std::string::npos;) {
    std::size_t End = Whole.find('&', Begin + 1);
    std::string Pair = Whole.substr(Begin + 1, End - Begin - 1);
    Fields[Pair.substr(0, Pair.find('='))] = Pair.substr(Pair.find('=') + 1);
    Begin = End;
  }
  if (!Path.starts_with(StorePrefix))
    return {404, "{}"};
  std::string Call = Path.substr(StorePrefix.size());
  std::unique_lock Guard(this->Lock);
  Topic &Asked = this->Topics[Fields["topic"] + "/" + Fields["part"]];
  std::vector<std::string> &Records = Asked.Records;
  if (Call == "log-append") {
    Answer Appended = this->append(Asked, Fields, Request.Body);
    Guard.unlock();
    constexpr double AppendSeconds = 0.004;
    sleepFor(AppendSeconds);
    return Appended;
  }
  if (Call == "log-newest")
    return newest(Asked, unescape(Fields["after"]));
  if (Call != "log-read")
    return {404, "{}"};
  std::size_t From = std::stoul(Fields["from"]);
  if (From > Records.size())
    return {410, json{{"firstOffset", 0}}.dump()};
  double End = now() + std::atof(Fields["waitMs"].c_str()) / 1000;
  while (Records.size() <= From && now() < End && !At.IsSilent)
    this->Changed.wait_for(Guard, std::chrono::milliseconds(20));
  std::string Out = bigEndian(Records.size(), 8) + bigEndian(0, 8);
  for (std::size_t I = From; I < Records.size(); ++I)
    Out += bigEndian(Records[I].size(), 4) + Records[I];
  constexpr std::size_t DefaultFetchKiB = 1024;
  std::size_t Fetch = Fields.contains("maxFetch")
                          ? std::stoul(Fields["maxFetch"])
                          : DefaultFetchKiB;
  Out.resize(std::min(Out.size(), 16 + Fetch * 1024));
  return {200, Out};
}

void Store::Topic::add(std::string Content) {
  auto KeyBytes = static_cast<unsigned char>(Content.front());
  std::string Key = Content.substr(1, KeyBytes);
  if (Content.size() > 1U + KeyBytes)
    this->Newest[Key] = this->Records.size();
  else
    this->Newest.erase(Key);
  this->Records.push_back(std::move(Content));
}

Store::Answer Store::append(Topic &To, const Query &Fields,
                            std::string_view Body) {
  auto At = Fields.find("at");
  if (At != Fields.end() && std::stoul(At->second) != To.Records.size())
    return {412, json{{"endOffset", To.Records.size()}}.dump()};
  std::size_t First = To.Records.size();
  while (Body.size() >= 4) {
    auto Bytes = static_cast<std::size_t>(readBigEndian(Body.substr(0, 4)));
    To.add(std::string(Body.substr(4, Bytes)));
    Body.remove_prefix(4 + Bytes);
  }
  this->Changed.notify_all();
  return {200,
          json{{"offset", First}, {"endOffset", To.Records.size()}}.dump()};
}

Store::Answer Store::newest(const Topic &From, const std::string &After) {
  constexpr std::size_t MaxEntries = 500;
  constexpr std::size_t MaxBytes = 1'000'000;
  json Entries = json::array();
  std::size_t Bytes = 0;
  auto At = From.Newest.upper_bound(After);
  for (; At != From.Newest.end(); ++At) {
    std::string Value =
        encodeBase64(From.Records[At->second].substr(1 + At->first.size()));
    Bytes += Value.size();
    if (Entries.size() >= MaxEntries || (Bytes > MaxBytes && !Entries.empty()))
      break;
    Entries.push_back(
        {{"key", At->first}, {"value", Value}, {"offset", At->second}});
  }
  return {200, json{{"entries", Entries},
                    {"hasMore", At != From.Newest.end()},
                    {"endOffset", From.Records.size()}}
                   .dump()};
}

Target::Target(Store &Platform, Record &Log, Options Wanted, Execute Run)
    : Platform(Platform), Log(Log), Chosen(std::move(Wanted)),
      Run(std::move(Run)),
      StartedAt(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
      IsCutOff(this->Chosen.IsCutOff) {
  this->Server = std::make_unique<Listener>(
      [this](Channel &Connected) { this->serve(Connected); },
      this->Chosen.Port);
  this->list();
  std::thread([this] {
    while (this->IsAlive) {
      sleepFor(HeartbeatSeconds);
      this->list();
    }
  }).detach();
}

void Target::list() {
  if (this->IsCutOff || !this->IsAlive)
    return;
  json Entry{{"service", this->Chosen.Service},
             {"addr", "127.0.0.1:" + std::to_string(this->Server->port())},
             {"zone", this->Chosen.Domain},
             {"version", this->Chosen.Version},
             {"slots", 64},
             {"state", this->IsLeaving ? "draining" : "ready"},
             {"coldLeftMs", 0},
             {"seq", ++this->Sequence},
             {"born", this->StartedAt}};
  this->Platform.put(wire::TargetTopic, this->Chosen.Id, Entry.dump());
  this->ListedAt = now();
}

void Target::crash() {
  this->IsAlive = false;
  this->Server->crash();
  this->Log.add("target " + this->Chosen.Id + " (" + this->Chosen.Version +
                ") crashes");
}

void Target::leave() {
  this->IsLeaving = true;
  this->list();
  this->Log.add("target " + this->Chosen.Id +
                " begins to leave, and the store has its entry");
}

std::vector<Target::Execution> Target::executions() {
  std::lock_guard Guard(this->Lock);
  return this->Executed;
}

std::string Target::headOf(const HttpMessage &Request) const {
  return "HTTP/1.1 200 OK\r\n" +
         field(wire::AttemptId, Request.find(wire::AttemptId).value_or("")) +
         field(wire::ServerStamp, "stamp." + this->Chosen.Id);
}

void Target::answer(Channel &To, const HttpMessage &Request,
                    const std::string &Body) {
  To.send(this->headOf(Request) +
          field("Content-Length", std::to_string(Body.size())) + "\r\n" + Body);
}

void Target::beginStream(Channel &To, const HttpMessage &Request) {
  To.send(this->headOf(Request) + field("Content-Type", "text/event-stream") +
          field("Transfer-Encoding", "chunked") + "\r\n");
}

void Target::serve(Channel &Connected) {
  while (auto Request = Connected.readMessage()) {
    if (!this->IsAlive)
      return;
    std::string Path = Request->path();
    if (Path == wire::TargetReportPath) {
      std::string Body = json{
          {"phase", "colocated"},
          {"models", json::array()},
          {"busy", false},
          {"seq", 0},
          {"queued", 0},
          {"active", 0},
          {"born",
           this->StartedAt}}.dump();
      Connected.send(
          "HTTP/1.1 200 OK\r\n" + field("Content-Type", "application/json") +
          field("Content-Length", std::to_string(Body.size())) + "\r\n" + Body);
      continue;
    }
    auto Expected = Request->find(wire::ExpectInstance);
    if (Expected && *Expected != this->Chosen.Id) {
      Connected.send(
          "HTTP/1.1 421 Misdirected Request\r\n" +
          field(wire::AttemptId, Request->find(wire::AttemptId).value_or("")) +
          field("Content-Length", "0") + "\r\n");
      continue;
    }
    Execution Begun{now(), Request->find(wire::AttemptId).value_or(""),
                    Request->FirstLine, Request->Body.size()};
    {
      std::lock_guard Guard(this->Lock);
      this->Executed.push_back(Begun);
    }
    if (this->Chosen.IsLogged)
      this->Log.add("target " + this->Chosen.Id + " (" + this->Chosen.Version +
                    ") executes " + Begun.CallId + " " + Begun.Line + ", " +
                    std::to_string(Begun.BodyBytes) + " bytes" +
                    (Request->find(wire::LastEventId)
                         ? ", after event " + *Request->find(wire::LastEventId)
                         : ""));
    this->Run(*this, Connected, *Request);
    if (!this->IsAlive)
      return;
  }
}

Relay::Relay(Store &Platform, Record &Log, std::string Name, std::string Domain,
             MachineSize Size)
    : Platform(Platform), Log(Log), Name(std::move(Name)),
      Domain(std::move(Domain)), StorePort(Platform.open()), Size(Size) {
  static std::atomic<unsigned> Made{0};
  auto Id = static_cast<unsigned>(getpid());
  this->Ip = "127." + std::to_string(70 + Id / 65536 % 50) + "." +
             std::to_string(Id / 256 % 256) + "." +
             std::to_string((Id % 256 + 7 * ++Made) % 250 + 1);
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  this->Folder = mkdtemp(Template.data()) ? Template : ".";
  std::ofstream(this->Folder + "/settings")
      << "node=" << this->Name << "\nzone=" << this->Domain
      << "\nip=" << this->Ip << "\nlisten.front=" << this->Ip << ":"
      << FrontPort << "\nlisten.ready=" << this->Ip << ":" << ReadyPort
      << "\ninternalPorts=7340,7355\nplatform.addr="
      << Platform.address(this->StorePort)
      << "\nplatform.parts=8\nlimits.memoryMb=" << Size.MemoryMb
      << "\nlimits.maxFds=" << Size.Descriptors
      << "\nlimits.linkMbps=1000.0\nbounds.graceS=8\nbounds.configMs=2000"
         "\nbounds.drainMs=2000\nbounds.retryBudgetRatio=0.2"
         "\nbounds.retryBudgetSlack=52\nbounds.budgetWindowS=10"
         "\nbounds.revokeFailClosed=false\nbounds.revokeMs=5000\n";
}

bool Relay::start(double Limit) {
  std::string Program = "target/bin/bergamothook-relay";
  std::string Variable = std::string(wire::SettingsEnvironmentVariable) + "=" +
                         this->Folder + "/settings";
  char *Arguments[] = {Program.data(), nullptr};
  std::string Path = "PATH=/usr/bin:/bin";
  char *Environment[] = {Variable.data(), Path.data(), nullptr};
  std::string LogPath = this->Folder + "/log";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  for (int Stream : {STDOUT_FILENO, STDERR_FILENO})
    posix_spawn_file_actions_addopen(&Actions, Stream, LogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  pid_t Started = -1;
  int Failure = posix_spawn(&Started, Program.c_str(), &Actions, nullptr,
                            Arguments, Environment);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failure != 0)
    return false;
  {
    std::lock_guard Guard(relayLock());
    runningRelays().insert(Started);
    this->Process = Started;
  }
  this->Log.add("relay " + this->Name + " starts at " + this->Ip);
  for (double End = now() + Limit; now() < End && this->isRunning();
       sleepFor(0.05)) {
    auto Ready = Channel::connect(this->Ip, ReadyPort);
    if (!Ready)
      continue;
    Ready->setTimeout(1);
    if (!Ready->send("GET " + std::string(wire::ReadyPath) +
                     " HTTP/1.1\r\nHost: ready\r\n\r\n"))
      continue;
    auto Answer = Ready->readHead();
    if (Answer && Answer->status() == 200)
      return true;
  }
  return false;
}

bool Relay::isRunning() {
  siginfo_t Info{};
  return this->Process > 0 &&
         waitid(P_PID, static_cast<id_t>(this->Process), &Info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         Info.si_pid == 0;
}

void Relay::kill() {
  std::lock_guard Guard(relayLock());
  if (runningRelays().erase(this->Process) == 0)
    return;
  ::kill(this->Process, SIGKILL);
  waitpid(this->Process, nullptr, 0);
  this->Process = -1;
  this->Log.add("relay " + this->Name + " is killed");
}

void Relay::stop() {
  this->Log.add("relay " + this->Name + " gets SIGTERM");
  ::kill(this->Process, SIGTERM);
  constexpr double GraceSeconds = 8;
  for (double End = now() + GraceSeconds; now() < End && this->isRunning();)
    sleepFor(0.02);
  this->kill();
}

std::size_t Relay::memory() const {
  pid_t Id = this->Process;
  if (Id <= 0)
    return 0;
  std::size_t Bytes = 0;
  std::ifstream Status("/proc/" + std::to_string(Id) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmRSS:"))
      Bytes = std::strtoul(Line.c_str() + 6, nullptr, 10) * 1024;
  char Local[32];
  std::snprintf(Local, sizeof(Local), "%08X:%04X", inet_addr(this->Ip.c_str()),
                static_cast<unsigned>(FrontPort));
  std::ifstream Sockets("/proc/net/tcp");
  for (std::string Line; std::getline(Sockets, Line);) {
    // The columns: number, local and remote address, state, and the bytes that
    // wait to be sent and to be read.
    std::size_t At = Line.find(Local);
    if (At != Line.find(": ") + 2)
      continue;
    std::size_t Queues = At + std::strlen("7F000001:2023 7F000001:2023 01 ");
    Bytes += std::strtoul(Line.substr(Queues + 9, 8).c_str(), nullptr, 16);
  }
  return Bytes;
}

MemoryWatch::MemoryWatch(std::vector<Relay *> Watched, Record &Log)
    : Fleet(std::move(Watched)), Log(Log), Ended(this->Fleet.size()),
      Runner([this] { this->run(); }) {}

MemoryWatch::~MemoryWatch() {
  this->IsOver = true;
  this->Runner.join();
}

std::vector<int> MemoryWatch::ended() const {
  return {this->Ended.begin(), this->Ended.end()};
}

void MemoryWatch::run() {
  while (!this->IsOver) {
    for (std::size_t I = 0; I < this->Fleet.size(); ++I) {
      Relay &Each = *this->Fleet[I];
      std::size_t Bytes = Each.memory();
      this->Peak = std::max<std::size_t>(this->Peak, Bytes);
      constexpr std::size_t BytesPerMb = 1024 * 1024;
      if (Bytes <= Each.memoryMb() * BytesPerMb)
        continue;
      this->Log.add("relay " + Each.name() + " holds " +
                        std::to_string(Bytes / BytesPerMb) + " of " +
                        std::to_string(Each.memoryMb()) +
                        " MB, and is ended by the platform",
                    true);
      ++this->Ended[I];
      Each.kill();
    }
    sleepFor(0.01);
  }
}

std::string newCallId() {
  static std::atomic<std::uint64_t> Last{0};
  char Text[24];
  std::snprintf(Text, sizeof(Text), "%08x%08llx",
                static_cast<unsigned>(getpid()),
                static_cast<unsigned long long>(++Last));
  return Text;
}

std::string Client::send(const Call &Request) {
  if (!this->Connection)
    this->Connection =
        Channel::connect(this->Ip, FrontPort, this->ReceiveBufferBytes);
  if (!this->Connection)
    return "";
  constexpr double Margin = 3;
  this->Connection->setTimeout(Request.DeadlineMs / 1000.0 + Margin);
  std::string Id = newCallId();
  std::string Bytes =
      Request.Method + " " + Request.Path + " HTTP/1.1\r\n" +
      field("Host", RouteHost) + field(wire::AttemptId, Id) +
      field(wire::DeadlineMs, std::to_string(Request.DeadlineMs)) +
      Request.Fields;
  if (Request.Method != "GET")
    Bytes += field("Content-Length", std::to_string(Request.Body.size()));
  return this->Connection->send(Bytes + "\r\n" + Request.Body) ? Id : "";
}

std::optional<HttpMessage> Client::exchange(const Call &Request) {
  std::optional<HttpMessage> Answer;
  if (!this->send(Request).empty())
    Answer = this->Connection->readMessage();
  if (!Answer || lowerCase(Answer->find("Connection").value_or("")) == "close")
    this->Connection.reset();
  return Answer;
}

json makeRoute(const std::string &Name, const std::string &Kind,
               const std::string &Service, const RouteOptions &Options) {
  json Route = makeRouteEntry(Name, RouteHost, "/" + Name + "/", Kind, Service);
  Route["public"] = Options.IsPublic;
  Route["resumable"] = Options.IsResumable;
  Route["sticky"] = Options.HasPrompt;
  Route["attempts"] = Options.Attempts;
  Route["timeoutMs"] = Options.TimeoutMs;
  Route["itlTargetMs"] = 300;
  return Route;
}

json makeConfig(std::vector<json> Routes,
                const std::vector<std::string> &Services) {
  json Config{{"version", 7},
              {"routes", std::move(Routes)},
              {"services", json::array()},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 4194304},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}};
  for (const std::string &Name : Services)
    Config["services"].push_back(
        {{"name", Name}, {"healthPath", "/healthz"}, {"maxConns", 360}});
  return Config;
}

void runCase(int Count, char **Arguments,
             const std::function<std::optional<bool>(Record &, bool)> &Play) {
  constexpr int Kept = 0;
  constexpr int Broken = 1;
  constexpr int CouldNotRun = 2;
  constexpr unsigned LongestSeconds = 115;
  startOfProgram();
  std::signal(SIGPIPE, SIG_IGN);
  for (int Each : {SIGTERM, SIGINT, SIGALRM})
    std::signal(Each, onStopSignal);
  alarm(LongestSeconds);
  const char *Trouble = std::getenv("TROUBLE");
  bool HasTrouble = !Trouble || std::strcmp(Trouble, "0") != 0;
  Record Log(Count > 1 ? Arguments[1] : ".");
  Log.add(HasTrouble ? "with the disruption" : "without the disruption");
  int Code = CouldNotRun;
  try {
    auto IsKept = Play(Log, HasTrouble);
    if (IsKept)
      Code = *IsKept ? Kept : Broken;
  } catch (const std::exception &Failure) {
    Log.add(std::string("failed: ") + Failure.what(), true);
  }
  killRelays();
  Log.add(Code == Kept     ? "the rule was kept"
          : Code == Broken ? "the rule was broken"
                           : "the case could not run",
          true);
  // The threads of the stand-ins still use what others own.
  std::_Exit(Code);
}

} // namespace bergamothook::review
