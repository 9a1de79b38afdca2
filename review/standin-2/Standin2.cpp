#include "Standin2.h"

#include "../../platform/WireNames.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

namespace wire = bergamothook::platform::wire;

constexpr milliseconds Tick{5};
constexpr std::size_t MaxPageBytes = std::size_t{1024} * 1024;

sockaddr_in parseAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_addr.s_addr = inet_addr(Address.substr(0, Colon).c_str());
  Out.sin_port = htons(static_cast<std::uint16_t>(
      std::strtoul(Address.c_str() + Colon + 1, nullptr, 10)));
  return Out;
}

/// Parses a head that ends with an empty line.
HttpMessage parseHead(std::string_view Text) {
  HttpMessage Out;
  std::size_t End = Text.find("\r\n");
  Out.Line = Text.substr(0, End);
  Text.remove_prefix(End + 2);
  while (!Text.starts_with("\r\n")) {
    End = Text.find("\r\n");
    std::string_view Line = Text.substr(0, End);
    std::size_t Colon = Line.find(':');
    if (Colon != std::string_view::npos) {
      std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Out.Fields.emplace_back(
          Line.substr(0, Colon),
          Value == std::string_view::npos ? "" : Line.substr(Value));
    }
    Text.remove_prefix(End + 2);
  }
  return Out;
}

/// Takes a chunked body from \p In. \returns false if it is not complete.
bool takeChunks(std::string &In, std::size_t At, std::string &Body) {
  std::string Out;
  for (;;) {
    std::size_t End = In.find("\r\n", At);
    if (End == std::string::npos)
      return false;
    std::size_t Size = std::strtoul(In.c_str() + At, nullptr, 16);
    if (In.size() < End + 2 + Size + 2)
      return false;
    if (Size == 0) {
      std::size_t Last = In.find("\r\n\r\n", End);
      if (Last == std::string::npos)
        return false;
      In.erase(0, Last + 4);
      Body = std::move(Out);
      return true;
    }
    Out.append(In, End + 2, Size);
    At = End + 2 + Size + 2;
  }
}

/// Takes a whole message from \p In.
std::optional<HttpMessage> takeMessage(std::string &In, bool IsEnded) {
  std::size_t End = In.find("\r\n\r\n");
  if (End == std::string::npos)
    return std::nullopt;
  End += 4;
  HttpMessage Out = parseHead(std::string_view(In).substr(0, End));
  if (strcasecmp(Out.find("Transfer-Encoding").c_str(), "chunked") == 0) {
    if (!takeChunks(In, End, Out.Body))
      return std::nullopt;
    return Out;
  }
  std::string Length = Out.find("Content-Length");
  std::size_t Size =
      Length.empty() ? 0 : std::strtoul(Length.c_str(), nullptr, 10);
  if (Length.empty() && Out.Line.starts_with("HTTP/")) {
    if (!IsEnded)
      return std::nullopt;
    Size = In.size() - End;
  }
  if (In.size() < End + Size)
    return std::nullopt;
  Out.Body = In.substr(End, Size);
  In.erase(0, End + Size);
  return Out;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Query;
  std::size_t Begin = Target.find('?');
  while (Begin != std::string::npos) {
    std::size_t End = Target.find('&', Begin + 1);
    std::string Pair = Target.substr(Begin + 1, End - Begin - 1);
    std::size_t Split = Pair.find('=');
    Query[Pair.substr(0, Split)] = Pair.substr(Split + 1);
    Begin = End;
  }
  return Query;
}

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Out;
  for (int I = Bytes - 1; I >= 0; --I)
    Out.push_back(static_cast<char>(Value >> (8 * I)));
  return Out;
}

std::string encodeBase64(std::string_view Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Out.push_back(I + J > Bytes.size() ? '='
                                         : Digits[Group >> (18 - 6 * J) & 63]);
  }
  return Out;
}

Reply jsonReply(unsigned Status, const nlohmann::json &Body) {
  return replyOf(Status, "Content-Type: application/json\r\n", Body.dump());
}

void setNonBlocking(int Fd) {
  fcntl(Fd, F_SETFL, fcntl(Fd, F_GETFL) | O_NONBLOCK);
}

} // namespace

std::string HttpMessage::find(std::string_view Name) const {
  for (const auto &[Each, Value] : this->Fields)
    if (Each.size() == Name.size() &&
        strncasecmp(Each.data(), Name.data(), Name.size()) == 0)
      return Value;
  return "";
}

std::string HttpMessage::method() const {
  return this->Line.substr(0, this->Line.find(' '));
}

std::string HttpMessage::target() const {
  std::size_t Begin = this->Line.find(' ') + 1;
  return this->Line.substr(Begin, this->Line.find(' ', Begin) - Begin);
}

Reply replyOf(unsigned Status, const std::string &Fields,
              const std::string &Body, milliseconds After) {
  Reply Out;
  Out.Pieces.push_back(
      {After, "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Fields +
                  "Content-Length: " + std::to_string(Body.size()) +
                  "\r\n\r\n" + Body});
  return Out;
}

void ServerLoop::stop() {
  this->IsStopping = true;
  if (this->Thread.joinable())
    this->Thread.join();
}

ServerLoop::~ServerLoop() {
  this->stop();
  for (const Connection &Each : this->Connections)
    close(Each.Fd);
  for (const auto &[Fd, Handle] : this->Servers)
    close(Fd);
}

std::string ServerLoop::listen(const std::string &Ip, Handler Handle) {
  return this->listenAt(Ip + ":0", std::move(Handle));
}

std::string ServerLoop::listenAt(const std::string &Address, Handler Handle) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At = parseAddress(Address);
  socklen_t Size = sizeof(At);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
      ::listen(Fd, 4096) != 0 ||
      getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Size) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  setNonBlocking(Fd);
  this->Servers.emplace_back(Fd, std::move(Handle));
  return Address.substr(0, Address.rfind(':') + 1) +
         std::to_string(ntohs(At.sin_port));
}

void ServerLoop::start() {
  this->Thread = std::thread([this] { this->run(); });
}

void ServerLoop::run() {
  while (!this->IsStopping) {
    std::vector<pollfd> Polled;
    for (const auto &[Fd, Handle] : this->Servers)
      Polled.push_back({Fd, POLLIN, 0});
    std::size_t Known = this->Connections.size();
    for (const Connection &Each : this->Connections) {
      int Wanted = Each.Out.empty() ? POLLIN : POLLIN | POLLOUT;
      Polled.push_back({Each.Fd, static_cast<short>(Wanted), 0});
    }
    poll(Polled.data(), Polled.size(), static_cast<int>(Tick.count()));
    std::lock_guard Guard(this->Lock);
    for (std::size_t I = 0; I < this->Servers.size(); ++I)
      if (Polled[I].revents != 0)
        this->accept(I);
    for (std::size_t I = Known; I > 0; --I) {
      Connection &Each = this->Connections[I - 1];
      bool IsOpen = true;
      if ((Polled[this->Servers.size() + I - 1].revents & ~POLLOUT) != 0)
        IsOpen = this->receive(Each);
      if (IsOpen && this->advance(Each))
        continue;
      close(Each.Fd);
      this->Connections.erase(this->Connections.begin() +
                              static_cast<std::ptrdiff_t>(I - 1));
    }
  }
}

void ServerLoop::accept(std::size_t Server) {
  for (;;) {
    int Fd = accept4(this->Servers[Server].first, nullptr, nullptr,
                     SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (Fd < 0)
      return;
    int On = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    Connection New;
    New.Fd = Fd;
    New.Server = Server;
    this->Connections.push_back(std::move(New));
  }
}

bool ServerLoop::receive(Connection &From) {
  char Bytes[65536];
  for (;;) {
    ssize_t Count = recv(From.Fd, Bytes, sizeof(Bytes), 0);
    if (Count > 0)
      From.In.append(Bytes, static_cast<std::size_t>(Count));
    else if (Count == 0)
      return false;
    else
      return errno == EAGAIN || errno == EINTR;
  }
}

bool ServerLoop::advance(Connection &Each) {
  for (;;) {
    if (!Each.Out.empty()) {
      ssize_t Count =
          ::send(Each.Fd, Each.Out.data(), Each.Out.size(), MSG_NOSIGNAL);
      if (Count < 0)
        return errno == EAGAIN || errno == EINTR;
      Each.Out.erase(0, static_cast<std::size_t>(Count));
      if (!Each.Out.empty())
        return true;
    }
    Clock::time_point Now = Clock::now();
    if (!Each.Pieces.empty()) {
      if (Now < Each.NextPieceAt)
        return true;
      Each.Out = std::move(Each.Pieces.front().Bytes);
      Each.Pieces.pop_front();
      if (!Each.Pieces.empty())
        Each.NextPieceAt = Now + Each.Pieces.front().After;
      continue;
    }
    if (Each.IsReplying && Each.ClosesAfter)
      return false;
    Each.IsReplying = false;
    Each.InProgress.reset();
    if (!Each.Request) {
      Each.Request = takeMessage(Each.In, false);
      Each.ReceivedAt = Now;
    }
    if (!Each.Request)
      return true;
    auto Answer =
        this->Servers[Each.Server].second(*Each.Request, Each.ReceivedAt);
    if (!Answer)
      return true;
    Each.Request.reset();
    Each.IsReplying = true;
    Each.InProgress = std::move(Answer->InProgress);
    Each.ClosesAfter = Answer->ClosesAfter;
    Each.Pieces.assign(Answer->Pieces.begin(), Answer->Pieces.end());
    if (!Each.Pieces.empty())
      Each.NextPieceAt = Now + Each.Pieces.front().After;
  }
}

Store::Store(ServerLoop &Loop, const std::string &Ip) : Loop(Loop) {
  this->Address = Loop.listen(
      Ip, [this](const HttpMessage &Request, Clock::time_point ReceivedAt) {
        return this->handle(Request, ReceivedAt);
      });
}

void Store::put(std::string_view Topic, std::string_view Key,
                std::string_view Value) {
  std::lock_guard Guard(this->Loop.Lock);
  std::string Content(1, static_cast<char>(Key.size()));
  Content += Key;
  Content += Value;
  this->Logs[std::string(Topic) + "/0"].push_back(Content);
}

std::optional<Reply> Store::handle(const HttpMessage &Request,
                                   Clock::time_point ReceivedAt) {
  if (this->Refuses)
    return jsonReply(503, nlohmann::json::object());
  std::string Target = Request.target();
  std::string Path = Target.substr(0, Target.find('?'));
  auto Query = parseQuery(Target);
  std::vector<std::string> &Log =
      this->Logs[Query["topic"] + "/" + Query["part"]];
  if (Path.ends_with("append"))
    return this->append(Log, Query, Request.Body);
  if (Path.ends_with("newest"))
    return newest(Log);
  if (!Path.ends_with("read"))
    return jsonReply(404, nlohmann::json::object());
  std::size_t From = std::strtoul(Query["from"].c_str(), nullptr, 10);
  milliseconds Wait(std::strtol(Query["waitMs"].c_str(), nullptr, 10));
  if (From > Log.size())
    return jsonReply(410, {{"firstOffset", 0}});
  if (From == Log.size() && Clock::now() - ReceivedAt < Wait)
    return std::nullopt;
  std::string Body = bigEndian(Log.size(), 8) + bigEndian(0, 8);
  for (; From < Log.size() && Body.size() < MaxPageBytes; ++From)
    Body += bigEndian(Log[From].size(), 4) + Log[From];
  return replyOf(200, "", Body);
}

Reply Store::append(std::vector<std::string> &To,
                    const std::map<std::string, std::string> &Query,
                    const std::string &Body) {
  auto At = Query.find("at");
  if (At != Query.end() && At->second != std::to_string(To.size()))
    return jsonReply(412, {{"endOffset", To.size()}});
  std::size_t First = To.size();
  for (std::size_t I = 0; I + 4 <= Body.size();) {
    std::size_t Size = 0;
    for (std::size_t J = 0; J < 4; ++J)
      Size = Size << 8 | static_cast<unsigned char>(Body[I + J]);
    To.push_back(Body.substr(I + 4, Size));
    I += 4 + Size;
  }
  return jsonReply(200, {{"offset", First}, {"endOffset", To.size()}});
}

Reply Store::newest(const std::vector<std::string> &From) {
  std::map<std::string, std::size_t> Last;
  for (std::size_t I = 0; I < From.size(); ++I) {
    std::size_t KeyBytes = static_cast<unsigned char>(From[I][0]);
    Last[From[I].substr(1, KeyBytes)] = I;
  }
  nlohmann::json Entries = nlohmann::json::array();
  for (const auto &[Key, Offset] : Last) {
    std::string Value = From[Offset].substr(1 + Key.size());
    if (!Value.empty())
      Entries.push_back(
          {{"key", Key}, {"value", encodeBase64(Value)}, {"offset", Offset}});
  }
  return jsonReply(
      200,
      {{"entries", Entries}, {"hasMore", false}, {"endOffset", From.size()}});
}

RelayProcess::RelayProcess(std::string Program, std::string Name,
                           std::string Ip, const std::string &StoreAddress,
                           const MachineLimits &Limits,
                           const std::string &Folder)
    : Program(std::move(Program)), Ip(std::move(Ip)),
      SettingsPath(Folder + "/" + Name + ".conf"),
      LogPath(Folder + "/" + Name + ".log") {
  std::ofstream(this->SettingsPath)
      << "node=" << Name << "\nrole=relay\nzone=" << Limits.Zone
      << "\nip=" << this->Ip << "\nlisten.front=" << this->frontAddress()
      << "\nlisten.ready=" << this->readyAddress()
      << "\ninternalPorts=18082,18090\nplatform.addr=" << StoreAddress
      << "\nplatform.parts=8\nlimits.memoryMb=" << Limits.MemoryMb
      << "\nlimits.maxFds=" << Limits.Descriptors
      << "\nlimits.linkMbps=1000.0\nbounds.graceS=8\n"
         "bounds.retryBudgetRatio=0.2\nbounds.retryBudgetSlack=52\n"
         "bounds.budgetWindowS=10\nbounds.configMs=2000\n"
         "bounds.drainMs=2000\n";
}

RelayProcess::~RelayProcess() {
  if (this->Process <= 0)
    return;
  kill(this->Process, SIGKILL);
  waitpid(this->Process, nullptr, 0);
}

void RelayProcess::start() {
  if (this->Process > 0)
    waitpid(this->Process, nullptr, 0);
  this->Process = fork();
  if (this->Process != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  setenv(wire::SettingsEnvironmentVariable, this->SettingsPath.c_str(), 1);
  int Log = open(this->LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execl(this->Program.c_str(), this->Program.c_str(), nullptr);
  _exit(127);
}

bool RelayProcess::awaitReady(milliseconds Limit) {
  for (auto End = Clock::now() + Limit; Clock::now() < End;) {
    Caller Balancer(this->readyAddress());
    HttpMessage Answer;
    if (Balancer.send("GET " + std::string(wire::ReadyPath) +
                      " HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        Balancer.read(Answer, milliseconds(1000)) == 200)
      return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

void RelayProcess::signal(int Number) const { kill(this->Process, Number); }

bool RelayProcess::isAlive() const {
  siginfo_t Info{};
  return waitid(P_PID, static_cast<id_t>(this->Process), &Info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         Info.si_pid == 0;
}

std::size_t RelayProcess::memoryBytes() const {
  std::ifstream File("/proc/" + std::to_string(this->Process) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::strtoul(Line.c_str() + 6, nullptr, 10) * 1024;
  return 0;
}

std::string RelayProcess::frontAddress() const {
  return this->Ip + ":" + std::to_string(FrontPort);
}

std::string RelayProcess::readyAddress() const {
  return this->Ip + ":" + std::to_string(ReadyPort);
}

Machine::Machine(RelayProcess &Process, std::size_t MemoryMb,
                 std::function<void(const std::string &)> Report)
    : Process(Process), LimitBytes(MemoryMb * 1024 * 1024),
      Report(std::move(Report)), Thread([this] { this->run(); }) {}

Machine::~Machine() {
  this->IsStopping = true;
  this->Thread.join();
}

void Machine::run() {
  constexpr milliseconds RestartPause(300);
  while (!this->IsStopping) {
    std::this_thread::sleep_for(Tick);
    std::size_t Bytes = this->Process.memoryBytes();
    this->PeakBytes = std::max(this->PeakBytes.load(), Bytes);
    bool IsAlive = this->Process.isAlive();
    if (IsAlive && Bytes <= this->LimitBytes)
      continue;
    if (IsAlive) {
      this->Report("holds " + std::to_string(Bytes / 1024 / 1024) +
                   " MB, more than its machine: killed");
      this->Process.signal(SIGKILL);
    } else {
      this->Report("ended by itself");
    }
    ++this->Ends;
    std::this_thread::sleep_for(RestartPause);
    this->Process.start();
  }
}

Caller::Caller(const std::string &Address) {
  this->Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in To = parseAddress(Address);
  timeval Limit{1, 0};
  setsockopt(this->Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  if (connect(this->Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
    close(this->Fd);
    this->Fd = -1;
  }
}

Caller::~Caller() {
  if (this->Fd >= 0)
    close(this->Fd);
}

bool Caller::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Count = ::send(this->Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

bool Caller::fill(Clock::time_point End) {
  auto Left =
      std::chrono::duration_cast<milliseconds>(End - Clock::now()).count();
  pollfd Polled{this->Fd, POLLIN, 0};
  if (Left <= 0 || poll(&Polled, 1, static_cast<int>(Left)) <= 0)
    return false;
  char Bytes[65536];
  ssize_t Count = recv(this->Fd, Bytes, sizeof(Bytes), 0);
  if (Count > 0)
    this->In.append(Bytes, static_cast<std::size_t>(Count));
  return Count > 0;
}

unsigned Caller::read(HttpMessage &Answer, milliseconds Limit) {
  auto End = Clock::now() + Limit;
  for (bool IsEnded = this->Fd < 0;; IsEnded = !this->fill(End)) {
    if (auto Read = takeMessage(this->In, IsEnded && Clock::now() < End)) {
      Answer = std::move(*Read);
      return static_cast<unsigned>(
          std::strtoul(Answer.Line.c_str() + 9, nullptr, 10));
    }
    if (IsEnded)
      return 0;
  }
}

void CallerCrowd::sendNext(std::unique_ptr<Caller> &Call) {
  Call = std::make_unique<Caller>(this->Address);
  if (!Call->isOpen() || !Call->send(this->Make(++this->Sent)))
    Call.reset();
}

void CallerCrowd::run(milliseconds Time, const std::function<bool()> &IsDone) {
  constexpr std::size_t MaxNewCalls = 100;
  constexpr milliseconds PauseAfterFailure(1000);
  auto End = Clock::now() + Time;
  while (Clock::now() < End && !IsDone()) {
    std::vector<pollfd> Polled;
    std::size_t NewCalls = 0;
    Clock::time_point Now = Clock::now();
    for (std::size_t I = 0; I < this->Calls.size(); ++I) {
      std::unique_ptr<Caller> &Call = this->Calls[I];
      if (!Call && Now >= this->NextCallAt[I] && ++NewCalls <= MaxNewCalls)
        this->sendNext(Call);
      Polled.push_back({Call ? Call->fd() : -1, POLLIN, 0});
    }
    poll(Polled.data(), Polled.size(), 2 * static_cast<int>(Tick.count()));
    for (std::size_t I = 0; I < this->Calls.size(); ++I) {
      if (Polled[I].revents == 0)
        continue;
      HttpMessage Answer;
      unsigned Status = this->Calls[I]->read(Answer, milliseconds(200));
      ++this->Ends[Status];
      this->Calls[I].reset();
      if (Status != 200)
        this->NextCallAt[I] = Clock::now() + PauseAfterFailure;
    }
  }
}

Record::Record(const std::string &Path) : File(std::fopen(Path.c_str(), "w")) {
  if (!this->File)
    std::exit(2);
}

Record::~Record() { std::fclose(this->File); }

void Record::line(const std::string &Text) {
  std::lock_guard Guard(this->Lock);
  auto Now =
      std::chrono::duration_cast<milliseconds>(Clock::now() - this->Begin);
  std::fprintf(this->File, "%7.3f s  %s\n",
               static_cast<double>(Now.count()) / 1000, Text.c_str());
  std::fflush(this->File);
}

std::string loopbackIp(unsigned Number) {
  unsigned Id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(100 + Id / 50'000 % 100) + "." +
         std::to_string(1 + Id / 200 % 250) + "." +
         std::to_string(1 + (Id * 7 + Number) % 250);
}

std::string makeFolder() {
  std::string Template =
      std::filesystem::temp_directory_path() / "bergamothook-review-XXXXXX";
  if (!mkdtemp(Template.data()))
    std::exit(2);
  return Template;
}

nlohmann::json readJson(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return nlohmann::json::parse(Text.str());
}

std::string targetEntry(const std::string &Service, const std::string &Address,
                        unsigned Slots, const std::string &State) {
  static std::atomic<unsigned> Sequence = 0;
  return nlohmann::json{{"service", Service}, {"addr", Address},
                        {"zone", "zone-1"},   {"version", "v1"},
                        {"slots", Slots},     {"state", State},
                        {"coldLeftMs", 0},    {"seq", ++Sequence}}
      .dump();
}

} // namespace review
