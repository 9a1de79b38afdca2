/// \file
/// A relay process on loopback addresses, with its store and its targets in a
/// thread of the test.

#ifndef BERGAMOTHOOK_TESTS_MISBEHAVINGCLIENTS_RELAYPROCESS_H
#define BERGAMOTHOOK_TESTS_MISBEHAVINGCLIENTS_RELAYPROCESS_H

#include "../Platform/FakeStore.h"

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>

namespace bergamothook {

/// The limits in the relay's settings.
inline constexpr std::size_t RelayMemoryMb = 64;
inline constexpr std::size_t RelayDescriptors = 800;
/// Descriptors that a host needs for files.
inline constexpr std::size_t ReservedDescriptors = 200;

/// The most that the relay has used so far.
struct RelayUsage {
  std::size_t ProcessBytes = 0;
  std::size_t SocketBytes = 0;
  std::size_t Descriptors = 0;
};

class RelayProcess {
public:
  /// Starts the store and the targets. Each of \p OtherTargets is a service
  /// with its only target, an IP:PORT, on a route /SERVICE/ whose calls may not
  /// be repeated.
  explicit RelayProcess(std::map<std::string, std::string> OtherTargets = {});
  ~RelayProcess();
  RelayProcess(const RelayProcess &) = delete;
  RelayProcess &operator=(const RelayProcess &) = delete;

  /// Starts the process and waits until it is ready.
  void start();

  /// Ends the process at once, and starts another one.
  void restart();

  /// Publishes a configuration, and waits until the store has it.
  void publish(const std::string &Config);

  /// Sets the fault of the store for all calls from now on.
  void setStoreFault(StoreFault Fault);

  /// The calls that the targets of the service "plain" have executed.
  std::uint64_t executed() const { return this->Executed; }

  bool isAlive() const;

  /// Measures what is used now.
  void measure();
  const RelayUsage &peak() const { return this->Peak; }

  const std::string &ip() const { return this->Ip; }

  static constexpr std::uint16_t FrontPort = 18080;
  static constexpr std::uint16_t ReadyPort = 18081;
  static constexpr std::uint16_t MetricsPort = 18082;
  static constexpr std::uint16_t PeerPort = 18083;
  /// The host of the relay's routes.
  static constexpr const char *RouteHost = "clients.example";

private:
  struct LocalServers;

  void runServers();
  void startProcess();
  void endProcess();
  /// Runs \p Change in the thread of the store, and waits until it has run.
  void changeStore(std::function<void(FakeStore &)> Change);

  std::map<std::string, std::string> OtherTargets;
  /// Unique to this process, so that the ports are free.
  std::string Ip;
  std::string Folder;
  std::string StoreAddress;
  /// The ports of the store and of the targets.
  std::set<std::uint16_t> ServerPorts;
  std::promise<void> AreServersStarted;
  std::mutex ChangeLock;
  /// Runs in the thread of the store.
  std::packaged_task<void(FakeStore &)> NextChange;
  std::atomic<std::uint64_t> Executed = 0;
  std::atomic<bool> IsStopping = false;
  std::thread Servers;
  pid_t Process = -1;
  RelayUsage Peak;
};

/// \returns the status of the response to a request, sent over a new
/// connection; 0 if there is none within \p Limit.
unsigned requestOnce(const std::string &Ip, std::uint16_t Port,
                     const std::string &Request, Duration Limit);

} // namespace bergamothook

#endif
