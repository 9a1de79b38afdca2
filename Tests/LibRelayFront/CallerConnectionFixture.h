/// \file
/// A host that refuses every request, and clients of it on loopback, for tests
/// of how caller connections end.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAYFRONT_CALLERCONNECTIONFIXTURE_H
#define BERGAMOTHOOK_TESTS_LIBRELAYFRONT_CALLERCONNECTIONFIXTURE_H

#include "LibObserve/StructuredLog.h"
#include "LibRelayFront/RelayServer.h"

#include <doctest/doctest.h>
#include <set>

namespace bergamothook {

struct RefusingHostSettings {
  Duration IdleTimeout = std::chrono::seconds(15);
  Duration IdleGrace{};
  Duration HeadTimeout = std::chrono::seconds(3);
  std::size_t MaxConnections = 100;
  StopPolicy Stop = {};
  ServerLoadHooks Load = {};
  MemoryBudgetHandle Memory = nullptr;
  Duration WriteTimeout = std::chrono::seconds(5);
  int SendBufferBytes = 0;
  /// The size of a field in each response.
  std::size_t FillerBytes = 0;
};

/// Responds 404 to every request.
class RefusingHost {
public:
  explicit RefusingHost(RefusingHostSettings Settings = {})
      : Settings(std::move(Settings)), Tasks(Loop.hooks()),
        Tokens({"host", "domain", "", 1}, "p", {}, this->tokenHooks(), Stats,
               1),
        Dispatcher({"host#1", "domain", {}, {}, {}, 1}, this->relayHooks(),
                   Tokens, Stats),
        Server(Loop, this->serverSettings(), Dispatcher,
               [this](HttpRequestMessage Message, TimePoint Now) {
                 return this->decode(std::move(Message), Now);
               }) {
    startLogging("test", "test", LogLevel::Error);
    this->setIdleTimeout(this->Settings.IdleTimeout);
    REQUIRE(this->Server.start());
  }

  /// Runs \p Test in a task, then waits until the host has closed its
  /// connections and a stop that was begun is over.
  void run(const std::function<void()> &Test) {
    this->Tasks.Spawn([&] {
      Test();
      while (this->Server.connections() > 0 || this->IsStopping)
        this->Tasks.sleepUntil(this->Tasks.Now() +
                               std::chrono::milliseconds(5));
      this->Loop.stop();
    });
    this->Loop.run();
  }

  /// Begins a planned stop, if none has begun.
  void stop() {
    if (std::exchange(this->HasStopped, true))
      return;
    this->IsStopping = true;
    this->Tasks.Spawn([this] {
      this->Server.stop(std::chrono::seconds(4));
      this->IsStopping = false;
    });
  }

  /// \returns whether a stop is over.
  bool hasExited() const { return this->HasStopped && !this->IsStopping; }

  /// Activates a configuration with this limit.
  void setIdleTimeout(Duration IdleTimeout) {
    auto Config = std::make_shared<RelayConfig>();
    Config->Version = ++this->Version;
    Config->Limits.IdleTimeout = IdleTimeout;
    Config->Limits.HeadTimeout = this->Settings.HeadTimeout;
    this->Dispatcher.setConfig(Config);
  }

  /// Keeps the thread busy, as a process that is slow or was suspended.
  void blockUntil(TimePoint End) const {
    while (this->Tasks.Now() < End) {
    }
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Server.port());
  }

  RefusingHostSettings Settings;
  NetRuntime Loop;
  Runtime Tasks;
  Metrics Stats;
  TokenBroker Tokens;
  RelayDispatcher Dispatcher;
  RelayServer Server;
  /// Whether decoding a request throws.
  bool FailsToDecode = false;
  /// Called while a request is decoded.
  std::function<void()> OnDecode = [] {};
  /// The paths of the requests that were decoded.
  std::multiset<std::string> Decoded;

private:
  TokenHooks tokenHooks() {
    TokenHooks Hooks;
    Hooks.Tasks = this->Tasks;
    Hooks.MakeLog = [](unsigned) { return WalletLog{}; };
    Hooks.SendDatagram = [](const std::string &, const std::string &) {};
    return Hooks;
  }

  RelayHooks relayHooks() {
    RelayHooks Hooks;
    Hooks.Tasks = this->Tasks;
    Hooks.LeaseClock = Hooks.Tasks.Now;
    Hooks.MakeRefusal = [this](unsigned Status, const RelayCall &,
                               std::optional<Duration>) {
      HttpResponseHead Head;
      Head.Status = Status;
      if (this->Settings.FillerBytes > 0)
        Head.Headers.add("Filler",
                         std::string(this->Settings.FillerBytes, 'f'));
      return Head;
    };
    return Hooks;
  }

  RelayServerSettings serverSettings() {
    RelayServerSettings Chosen;
    Chosen.Listen = {"127.0.0.1:0", 100, this->Settings.MaxConnections, {}};
    Chosen.Listen.Limits.Memory = this->Settings.Memory;
    Chosen.Listen.Limits.SendBufferBytes = this->Settings.SendBufferBytes;
    Chosen.WriteTimeout = this->Settings.WriteTimeout;
    Chosen.Stop = this->Settings.Stop;
    Chosen.IdleGrace = this->Settings.IdleGrace;
    Chosen.CloseTimeout = std::chrono::milliseconds(300);
    Chosen.Load = this->Settings.Load;
    return Chosen;
  }

  DecodedCall decode(HttpRequestMessage Message, TimePoint Now) {
    if (this->FailsToDecode)
      throw std::runtime_error("no decoder");
    this->Decoded.insert(Message.Head.Target);
    this->OnDecode();
    DecodedCall Read;
    Read.Call.Config = this->Dispatcher.config();
    Read.Call.ArrivedAt = Now;
    Read.Call.Head = std::move(Message.Head);
    Read.RefusalStatus = 404;
    return Read;
  }

  std::uint64_t Version = 0;
  bool HasStopped = false;
  bool IsStopping = false;
};

/// A client's connection to a host. Connects and sends without letting another
/// task run.
class ClientConnection {
public:
  /// With \p ReceiveBufferBytes, the kernel receives no more ahead of the
  /// client.
  explicit ClientConnection(RefusingHost &Host, int ReceiveBufferBytes = 0);
  ~ClientConnection();
  ClientConnection(const ClientConnection &) = delete;
  ClientConnection &operator=(const ClientConnection &) = delete;

  void send(std::string_view Bytes);
  void sendRequest(const std::string &Path = "/");

  /// \returns the status of the next response; 0 if there is no complete one.
  unsigned readStatus();

  /// Reads up to \p MaxBytes at a time, each \p Pause, to the end of the
  /// connection. \returns how many bytes it read.
  std::size_t readSlowly(std::size_t MaxBytes, Duration Pause);

  /// Reads to the end of the connection, in any thread. \returns how many bytes
  /// it read.
  std::size_t readToEnd();

  /// \returns whether bytes of a response have arrived.
  bool hasResponse();

  /// \returns the status of the response to a request that is sent now.
  unsigned request(const std::string &Path = "/");

  /// \returns whether the head of the last response has \p Line, or a line that
  /// begins so.
  bool hasField(const std::string &Line) const {
    return this->LastHead.find("\r\n" + Line) != std::string::npos;
  }

  /// \returns whether the host has ended the connection, after all responses.
  bool hasEnded();
  void awaitEnd();
  bool wasReset() const { return this->WasReset; }

private:
  void receive();
  /// Removes a complete response from what was received. \returns its status.
  std::optional<unsigned> takeStatus();

  RefusingHost &Host;
  int Socket;
  std::string Received;
  std::string LastHead;
  bool HasEnded = false;
  bool WasReset = false;
};

} // namespace bergamothook

#endif
