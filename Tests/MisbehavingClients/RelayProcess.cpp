#include "RelayProcess.h"

#include "../Platform/RouteEntry.h"
#include "LibNet/HttpReader.h"
#include "LibObserve/StructuredLog.h"
#include "ProcessUsage.h"
#include "platform/WireNames.h"

#include <arpa/inet.h>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace bergamothook {

using namespace std::chrono_literals;
namespace wire = platform::wire;

namespace {

/// Far longer than a start takes on a busy machine.
constexpr Duration StartLimit = 30s;
constexpr std::size_t LargeBodyBytes = 2 * 1024 * 1024;
/// A read of an unread stream ends with the relay's process.
constexpr Duration TargetTimeout = 60s;

std::string ownLoopbackAddress() {
  auto Id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + (Id >> 16) % 64) + "." +
         std::to_string((Id >> 8) % 256) + "." + std::to_string(Id % 253 + 1);
}

} // namespace

/// Created in the thread that runs them, as a runtime requires.
struct RelayProcess::LocalServers {
  explicit LocalServers(std::atomic<std::uint64_t> &Executed)
      : Executed(Executed),
        Target(this->Loop, {"127.0.0.1:0", 1024, 1024, {}},
               [this](const TcpConnection::Handle &Connection) {
                 this->serveTarget(Connection);
               }) {}

  void configure(const std::map<std::string, std::string> &OtherTargets);
  void listTarget(const std::string &Service, const std::string &Address);
  void serveTarget(const TcpConnection::Handle &Connection);

  std::atomic<std::uint64_t> &Executed;
  NetRuntime Loop;
  FakeStore Store{Loop};
  TcpListener Target;
};

RelayProcess::RelayProcess(std::map<std::string, std::string> OtherTargets)
    : OtherTargets(std::move(OtherTargets)), Ip(ownLoopbackAddress()) {
  startLogging("test", "test", LogLevel::Error);
  this->Servers = std::thread([this] { this->runServers(); });
  this->AreServersStarted.get_future().wait();
}

void RelayProcess::runServers() {
  LocalServers Local(this->Executed);
  bool HasStarted = Local.Store.start() && Local.Target.start();
  if (HasStarted) {
    Local.configure(this->OtherTargets);
    this->StoreAddress = Local.Store.address();
    this->ServerPorts = {
        Local.Target.port(),
        static_cast<std::uint16_t>(std::stoi(
            this->StoreAddress.substr(this->StoreAddress.find(':') + 1)))};
  }
  this->AreServersStarted.set_value();
  if (!HasStarted)
    return;
  Local.Loop.hooks().Spawn([&] {
    Runtime Tasks = Local.Loop.hooks();
    while (!this->IsStopping) {
      {
        std::lock_guard Guard(this->ChangeLock);
        if (this->NextChange.valid())
          std::exchange(this->NextChange, {})(Local.Store);
      }
      Tasks.sleepUntil(Tasks.Now() + 5ms);
    }
    Local.Target.stop();
    Local.Store.stop();
    while (Local.Target.connections() > 0)
      Tasks.sleepUntil(Tasks.Now() + 5ms);
    Local.Loop.stop();
  });
  Local.Loop.run();
}

void RelayProcess::start() {
  REQUIRE(!this->StoreAddress.empty());
  this->startProcess();
  auto End = std::chrono::steady_clock::now() + StartLimit;
  while (requestOnce(this->Ip, ReadyPort,
                     "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n",
                     1s) != 200) {
    REQUIRE(this->isAlive());
    REQUIRE(std::chrono::steady_clock::now() < End);
    std::this_thread::sleep_for(10ms);
  }
}

void RelayProcess::restart() {
  this->endProcess();
  this->start();
}

void RelayProcess::publish(const std::string &Config) {
  this->changeStore([Config](FakeStore &Store) {
    Store.put(std::string(wire::OperatorTopic), wire::ConfigKey, Config);
  });
}

void RelayProcess::setStoreFault(StoreFault Fault) {
  this->changeStore([Fault](FakeStore &Store) { Store.Fault = Fault; });
}

void RelayProcess::changeStore(std::function<void(FakeStore &)> Change) {
  std::packaged_task<void(FakeStore &)> Task(std::move(Change));
  std::future<void> HasRun = Task.get_future();
  {
    std::lock_guard Guard(this->ChangeLock);
    this->NextChange = std::move(Task);
  }
  HasRun.wait();
}

void RelayProcess::endProcess() {
  if (this->Process <= 0)
    return;
  kill(this->Process, SIGKILL);
  waitpid(this->Process, nullptr, 0);
  this->Process = -1;
}

RelayProcess::~RelayProcess() {
  this->endProcess();
  this->IsStopping = true;
  this->Servers.join();
  std::error_code Ignored; // A leftover folder does no harm.
  std::filesystem::remove_all(this->Folder, Ignored);
}

void RelayProcess::LocalServers::configure(
    const std::map<std::string, std::string> &OtherTargets) {
  using nlohmann::json;
  json Config{
      {"version", 1},
      {"routes",
       {makeRouteEntry("plain", RouteHost, "/plain/", "idempotent", "plain"),
        makeRouteEntry("stream", RouteHost, "/stream/", "streaming",
                       "stream")}},
      {"services",
       {{{"name", "plain"}, {"maxConns", 1000}},
        {{"name", "stream"}, {"maxConns", 1000}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 4194304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}}};
  for (const auto &[Service, Address] : OtherTargets) {
    Config["routes"].push_back(makeRouteEntry(
        Service, RouteHost, "/" + Service + "/", "nonIdempotent", Service));
    Config["services"].push_back({{"name", Service}, {"maxConns", 1000}});
    this->listTarget(Service, Address);
  }
  this->Store.put(std::string(wire::OperatorTopic), wire::ConfigKey,
                  Config.dump());
  for (const char *Service : {"plain", "stream"})
    this->listTarget(Service,
                     "127.0.0.1:" + std::to_string(this->Target.port()));
}

void RelayProcess::LocalServers::listTarget(const std::string &Service,
                                            const std::string &Address) {
  this->Store.put(std::string(wire::TargetTopic), Service + "-1",
                  nlohmann::json{{"service", Service},
                                 {"addr", Address},
                                 {"zone", "zone"},
                                 {"version", "v1"},
                                 {"slots", 1000},
                                 {"state", "ready"},
                                 {"born", 1}}
                      .dump());
}

void RelayProcess::startProcess() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "bergamothook-XXXXXX").string();
  REQUIRE(mkdtemp(Template.data()));
  this->Folder = Template;
  std::string SettingsPath = this->Folder + "/settings";
  std::ofstream(SettingsPath)
      << "node=host\nzone=zone\nip=" << this->Ip
      << "\nlisten.front=" << this->Ip << ":" << FrontPort
      << "\nlisten.ready=" << this->Ip << ":" << ReadyPort
      << "\ninternalPorts=" << MetricsPort << "," << PeerPort
      << "\nplatform.addr=" << this->StoreAddress
      << "\nplatform.parts=1\nlimits.memoryMb=" << RelayMemoryMb
      << "\nlimits.maxFds=" << RelayDescriptors
      << "\nbounds.graceS=2\nbounds.retryBudgetRatio=0.2\n"
         "bounds.retryBudgetSlack=52\nbounds.budgetWindowS=10\n"
         "bounds.configMs=2000\nbounds.drainMs=2000\n";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  std::string LogPath = this->Folder + "/log";
  for (int Stream : {STDOUT_FILENO, STDERR_FILENO})
    posix_spawn_file_actions_addopen(&Actions, Stream, LogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  std::string Program = BERGAMOTHOOK_RELAY;
  std::string Option = "--settings";
  char *Arguments[] = {Program.data(), Option.data(), SettingsPath.data(),
                       nullptr};
  int Failure = posix_spawn(&this->Process, Program.c_str(), &Actions, nullptr,
                            Arguments, environ);
  posix_spawn_file_actions_destroy(&Actions);
  REQUIRE(Failure == 0);
}

void RelayProcess::LocalServers::serveTarget(
    const TcpConnection::Handle &Connection) {
  Runtime Tasks = this->Loop.hooks();
  Event Changed;
  ScopedEventAttachment Attached(Connection, Changed);
  HttpRequestReader Reader(Connection, Tasks, Changed);
  for (;;) {
    TimePoint Deadline = Tasks.Now() + TargetTimeout;
    auto Message = Reader.read({64 * 1024, 8 * 1024 * 1024}, Deadline, [] {});
    if (!Message)
      return;
    const HttpRequestHead &Asked = Message.value().Head;
    HttpResponseHead Head;
    Head.Status = 200;
    Head.Headers.add(wire::ServerStamp, "1");
    for (const HeaderField &Field : Asked.Headers.fields())
      if (isSameHeader(Field.Name, wire::AttemptId))
        Head.Headers.add(wire::AttemptId, Field.Value);
    if (Asked.Target.starts_with("/stream")) {
      Head.Headers.add("Content-Type", "text/event-stream");
      auto Sent = Connection->write(
          formatResponseHead(Head, BodyFraming::Chunked, 0), Deadline);
      for (std::uint64_t Id = 1; Sent; ++Id)
        Sent = Connection->write(
            formatChunk("id: " + std::to_string(Id) +
                        "\ndata: " + std::string(4096, 'x') + "\n\n"),
            Deadline);
      return;
    }
    std::string Body;
    if (Asked.Target == wire::TargetReportPath)
      Body = R"({"born":1})";
    else if (Asked.Target.starts_with("/plain/"))
      ++this->Executed;
    if (Asked.Target == "/plain/large")
      Body.assign(LargeBodyBytes, 'x');
    std::string Bytes =
        formatResponseHead(Head, BodyFraming::Length, Body.size()) + Body;
    if (!Connection->write(Bytes, Deadline))
      return;
  }
}

bool RelayProcess::isAlive() const {
  // The process is not reaped, so that its identifier stays its own.
  siginfo_t Info{};
  return waitid(P_PID, static_cast<id_t>(this->Process), &Info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         Info.si_pid == 0;
}

void RelayProcess::measure() {
  this->Peak.ProcessBytes =
      std::max(this->Peak.ProcessBytes, peakMemoryOf(this->Process));
  this->Peak.SocketBytes = std::max(this->Peak.SocketBytes,
                                    socketMemory(this->Ip, this->ServerPorts));
  this->Peak.Descriptors =
      std::max(this->Peak.Descriptors, openDescriptorsOf(this->Process));
}

unsigned requestOnce(const std::string &Ip, std::uint16_t Port,
                     const std::string &Request, Duration Limit) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(Socket >= 0);
  timeval Timeout{
      std::chrono::duration_cast<std::chrono::seconds>(Limit).count(), 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof(Timeout));
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Port);
  To.sin_addr.s_addr = inet_addr(Ip.c_str());
  unsigned Status = 0;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0 &&
      send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Request.size())) {
    constexpr std::string_view Begin = "HTTP/1.1 ";
    char Line[16] = {};
    if (recv(Socket, Line, 12, MSG_WAITALL) == 12 &&
        std::string_view(Line).starts_with(Begin))
      Status = static_cast<unsigned>(std::atoi(Line + Begin.size()));
  }
  close(Socket);
  return Status;
}

} // namespace bergamothook
