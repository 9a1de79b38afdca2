/// \file
/// Stand-ins for the store, the targets, the callers and the platform that
/// starts the relays. Each connection has a thread and blocking sockets.

#ifndef BERGAMOTHOOK_REVIEW_STANDIN_STANDIN_H
#define BERGAMOTHOOK_REVIEW_STANDIN_STANDIN_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// The record of a run: one line for each thing sent, answered or run.
class Record {
public:
  explicit Record(const std::string &Path);
  void line(const std::string &Text);

private:
  std::mutex Lock;
  Clock::time_point Begin = Clock::now();
  int Fd;
};

struct Message {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /// \returns the value of a field, or nothing.
  std::optional<std::string> find(std::string_view Name) const;
  /// \returns the second word of the start line.
  std::string target() const;
};

/// How a read of a message ended.
enum class ReadEnd { Complete, Closed, Reset, TimedOut, Malformed };

/// A connected TCP socket.
class Channel {
public:
  explicit Channel(int Fd) : Fd(Fd) {}
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  static std::unique_ptr<Channel> connect(const std::string &Address);

  bool send(std::string_view Bytes) const;
  /// \returns whether there is something to read, or the connection has ended.
  bool wait(Milliseconds Timeout) const;
  /// Reads a head, and a body that has a length or chunks. A response without
  /// either ends with the connection.
  ReadEnd read(Message &Out, bool IsResponse, Clock::time_point Deadline);
  /// Closes the connection with a reset.
  void reset();
  /// Ends the sending direction.
  void finish() const;

private:
  ReadEnd fill(Clock::time_point Deadline);
  ReadEnd readChunks(Message &Out, Clock::time_point Deadline);

  int Fd;
  std::string Buffer;
};

/// Accepts connections at a free port of a loopback address.
class Listener {
public:
  using Serve = std::function<void(Channel &)>;
  Listener(std::string Ip, Serve Handler);
  const std::string &address() const { return this->Address; }
  /// Refuses connections until reopen() is called.
  void close();
  void reopen();

private:
  void open();
  void accept();

  std::string Ip;
  Serve Handler;
  std::string Address;
  std::mutex Lock;
  int Fd = -1;
};

/// The store: topics of one or more partitions, in memory.
class Store {
public:
  Store();
  const std::string &address() const { return this->Port->address(); }
  /// The address for machines that the store may turn away.
  const std::string &otherAddress() const { return this->OtherPort->address(); }
  /// Appends a record on behalf of the operator or of a target.
  void put(std::string_view Topic, const std::string &Key,
           const std::string &Value);
  /// Writes the manifest of the stand-ins on behalf of the operator.
  void putManifest();
  /// While it is down, the store answers each call with 503, and targets do not
  /// reach it either.
  void setDown(bool IsNowDown);
  /// While it turns machines away, the store answers each of their calls with
  /// 503 and serves the others.
  void setTurningAway(bool IsNowTurningAway);

private:
  struct Reply {
    int Status = 200;
    std::string Body;
  };
  using Query = std::map<std::string, std::string>;

  void serve(Channel &From, bool IsOther);
  bool isRefused(bool IsOther);
  Reply answer(const Message &Request);
  Reply append(const std::string &Place, const Query &Parameters,
               std::string_view Body);
  Reply read(const std::string &Place, const Query &Parameters);
  Reply newest(const std::string &Place);

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::vector<std::string>> Partitions;
  bool IsDown = false;
  bool IsTurningAway = false;
  std::unique_ptr<Listener> Port;
  std::unique_ptr<Listener> OtherPort;
};

/// A target. A request for another instance is refused.
class Target {
public:
  /// Answers a request that the target runs.
  using Run = std::function<void(const Message &Request, Channel &From)>;
  Target(Store &Platform, std::string Id, std::string Service, Run Handler,
         std::string Version = "v1");
  const std::string &id() const { return this->Id; }
  /// Ends the process: requests in progress are to end with a reset.
  void crash();
  /// Starts it again, under the same identifier and address.
  void restart(const std::string &NextVersion);
  /// \returns the number of the current run, and 0 while there is none.
  unsigned run() const { return this->CurrentRun; }
  std::string version();

private:
  void serve(Channel &From) const;
  void beat(Store &Platform);

  std::string Id;
  std::string Service;
  Run Handler;
  std::mutex Lock;
  std::string Version;
  std::int64_t Born = 0;
  std::atomic<unsigned> CurrentRun = 1;
  unsigned Runs = 1;
  std::unique_ptr<Listener> Port;
};

/// The head of a target's answer to \p Request, up to the field that delimits
/// the body.
std::string answerHead(const Message &Request, int Status,
                       const std::string &Type);
/// A whole answer with a length.
std::string wholeAnswer(const Message &Request, int Status,
                        const std::string &Body);
std::string chunk(std::string_view Bytes);

/// A process of the relay, and the machine that it runs on.
class Relay {
public:
  /// \p Number is the number of the machine in its zone. Both count from 1.
  Relay(const std::string &StoreAddress, unsigned Zone, unsigned Number,
        const std::string &Folder);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  void start();
  void signal(int Number) const;
  /// \returns how the process ended, if it has.
  std::optional<std::string> ended();
  bool isReady() const;
  const std::string &front() const { return this->Front; }
  pid_t pid() const { return this->Pid; }
  /// The resident memory of the process in bytes.
  std::uint64_t residentBytes() const;

private:
  std::string Ip;
  std::string Front;
  std::string Ready;
  std::string SettingsPath;
  std::string LogPath;
  pid_t Pid = -1;
};

/// The head of a caller's request.
std::string callerRequest(const std::string &Method, const std::string &Path,
                          const std::string &Id, Milliseconds Deadline,
                          const std::string &MoreFields = "",
                          const std::string &Body = "");

/// The fields of a request for an engine. Requests of one topic share all parts
/// of their prompts but the last.
std::string promptFields(const std::string &Topic);

bool waitUntilReady(const std::vector<Relay *> &Relays, Milliseconds Timeout);

/// \returns whether the disruption is to be made.
bool hasTrouble();

} // namespace review

#endif
