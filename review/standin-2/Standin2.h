/// \file
/// Stand-ins for the platform of a relay process: the store, targets, callers,
/// and the machine that starts the process. All are on loopback addresses.

#ifndef BERGAMOTHOOK_REVIEW_STANDIN2_H
#define BERGAMOTHOOK_REVIEW_STANDIN2_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct HttpMessage {
  /// The request line or the status line.
  std::string Line;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::string find(std::string_view Name) const;
  /// The parts of a request line.
  std::string method() const;
  std::string target() const;
};

/// What a server sends, in pieces with a pause before each.
struct Reply {
  struct Piece {
    milliseconds After{0};
    std::string Bytes;
  };
  std::vector<Piece> Pieces;
  bool ClosesAfter = false;
  /// Released once the reply or its connection has ended.
  std::shared_ptr<void> InProgress;
};

Reply replyOf(unsigned Status, const std::string &Fields,
              const std::string &Body, milliseconds After = milliseconds(0));

/// Runs all servers of a case on one thread.
class ServerLoop {
public:
  /// \returns nothing as long as the request has to wait.
  using Handler = std::function<std::optional<Reply>(
      const HttpMessage &Request, Clock::time_point ReceivedAt)>;

  ServerLoop() = default;
  ~ServerLoop();
  ServerLoop(const ServerLoop &) = delete;
  ServerLoop &operator=(const ServerLoop &) = delete;

  /// Listens on a free port. \returns the address.
  std::string listen(const std::string &Ip, Handler Handle);
  /// Listens at \p Address.
  std::string listenAt(const std::string &Address, Handler Handle);
  void start();
  /// No handler runs afterwards.
  void stop();

  /// Held while a handler runs.
  std::mutex Lock;

private:
  struct Connection {
    int Fd = -1;
    std::size_t Server = 0;
    std::string In;
    std::string Out;
    std::deque<Reply::Piece> Pieces;
    Clock::time_point NextPieceAt;
    bool ClosesAfter = false;
    bool IsReplying = false;
    std::shared_ptr<void> InProgress;
    std::optional<HttpMessage> Request;
    Clock::time_point ReceivedAt;
  };

  void run();
  void accept(std::size_t Server);
  /// \returns false if the connection has ended.
  bool receive(Connection &From);
  bool advance(Connection &Each);

  std::vector<std::pair<int, Handler>> Servers;
  std::vector<Connection> Connections;
  std::atomic<bool> IsStopping = false;
  std::thread Thread;
};

/// The platform's store, in memory.
class Store {
public:
  Store(ServerLoop &Loop, const std::string &Ip);
  ~Store() { this->Loop.stop(); }
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  const std::string &address() const { return this->Address; }
  void put(std::string_view Topic, std::string_view Key,
           std::string_view Value);
  /// Turns callers away with 503, or serves them again.
  void setRefusing(bool IsRefusing) { this->Refuses = IsRefusing; }

private:
  std::optional<Reply> handle(const HttpMessage &Request,
                              Clock::time_point ReceivedAt);
  Reply append(std::vector<std::string> &To,
               const std::map<std::string, std::string> &Query,
               const std::string &Body);
  static Reply newest(const std::vector<std::string> &From);

  ServerLoop &Loop;
  std::string Address;
  std::map<std::string, std::vector<std::string>> Logs;
  std::atomic<bool> Refuses = false;
};

/// A relay process and the limits of its machine.
struct MachineLimits {
  unsigned MemoryMb = 260;
  unsigned Descriptors = 4200;
  std::string Zone = "zone-1";
};

class RelayProcess {
public:
  RelayProcess(std::string Program, std::string Name, std::string Ip,
               const std::string &StoreAddress, const MachineLimits &Limits,
               const std::string &Folder);
  ~RelayProcess();
  RelayProcess(const RelayProcess &) = delete;
  RelayProcess &operator=(const RelayProcess &) = delete;

  /// Starts the process, or starts it again after its end.
  void start();
  /// Waits until the process says that it is ready.
  bool awaitReady(milliseconds Limit);
  void signal(int Number) const;
  bool isAlive() const;
  /// \returns the memory that the process holds now, in bytes.
  std::size_t memoryBytes() const;
  std::string frontAddress() const;
  std::string readyAddress() const;

  static constexpr std::uint16_t FrontPort = 18080;
  static constexpr std::uint16_t ReadyPort = 18081;

private:
  std::string Program;
  std::string Ip;
  std::string SettingsPath;
  std::string LogPath;
  pid_t Process = -1;
};

/// Kills a process that holds more memory than its machine has, and starts
/// every process again that has ended, as the platform does.
class Machine {
public:
  Machine(RelayProcess &Process, std::size_t MemoryMb,
          std::function<void(const std::string &)> Report);
  ~Machine();
  Machine(const Machine &) = delete;
  Machine &operator=(const Machine &) = delete;

  /// \returns how often the process has ended.
  unsigned ends() const { return this->Ends; }
  std::size_t peakBytes() const { return this->PeakBytes; }

private:
  void run();

  RelayProcess &Process;
  std::size_t LimitBytes;
  std::function<void(const std::string &)> Report;
  std::atomic<unsigned> Ends = 0;
  std::atomic<std::size_t> PeakBytes = 0;
  std::atomic<bool> IsStopping = false;
  std::thread Thread;
};

/// A caller's connection.
class Caller {
public:
  explicit Caller(const std::string &Address);
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  bool isOpen() const { return this->Fd >= 0; }
  int fd() const { return this->Fd; }
  bool send(std::string_view Bytes);
  /// \returns the status of the next answer; 0 if there is none in time.
  unsigned read(HttpMessage &Answer, milliseconds Limit);
  /// \returns what was received of an answer that is not complete.
  const std::string &received() const { return this->In; }

private:
  bool fill(Clock::time_point End);

  int Fd = -1;
  std::string In;
};

/// Callers that each send a request, wait for its answer, and go on with the
/// next one on a new connection; after a refusal or a failure a second later.
class CallerCrowd {
public:
  using MakeRequest = std::function<std::string(unsigned Number)>;

  CallerCrowd(std::string Address, std::size_t Callers, MakeRequest Make)
      : Address(std::move(Address)), Make(std::move(Make)), Calls(Callers),
        NextCallAt(Callers) {}

  /// Runs for \p Time, or until \p IsDone.
  void run(milliseconds Time, const std::function<bool()> &IsDone);
  /// \returns how many requests ended with each status; 0 stands for the end of
  /// the connection without a complete answer.
  const std::map<unsigned, unsigned> &ends() const { return this->Ends; }

private:
  void sendNext(std::unique_ptr<Caller> &Call);

  std::string Address;
  MakeRequest Make;
  std::vector<std::unique_ptr<Caller>> Calls;
  std::vector<Clock::time_point> NextCallAt;
  std::map<unsigned, unsigned> Ends;
  unsigned Sent = 0;
};

/// The record of a case.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  void line(const std::string &Text);

private:
  std::FILE *File;
  Clock::time_point Begin = Clock::now();
  std::mutex Lock;
};

/// \returns a loopback address that differs between processes.
std::string loopbackIp(unsigned Number);

/// Creates a folder for the files of a case.
std::string makeFolder();

nlohmann::json readJson(const std::string &Path);

/// An entry in the list of targets.
std::string targetEntry(const std::string &Service, const std::string &Address,
                        unsigned Slots, const std::string &State);

} // namespace review

#endif
