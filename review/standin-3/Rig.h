/// \file
/// Stand-ins for the third review: clients, targets and the platform's store,
/// with blocking sockets and one thread for each connection, and the relays as
/// processes of their own. Everything is on loopback addresses.

#ifndef BERGAMOTHOOK_REVIEW_STANDIN3_RIG_H
#define BERGAMOTHOOK_REVIEW_STANDIN3_RIG_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace bergamothook::review {

/// Seconds since the program began.
double now();
void sleepFor(double Seconds);

/// What was sent, answered and run, in the folder of the case.
class Record {
public:
  explicit Record(const std::string &Folder)
      : File(Folder + "/record.txt", std::ios::trunc) {}

  /// Adds a line with the time; also prints it if \p IsResult.
  void add(const std::string &Line, bool IsResult = false);

private:
  std::mutex Lock;
  std::ofstream File;
};

struct HttpMessage {
  std::string FirstLine;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::optional<std::string> find(std::string_view Name) const;
  /// Of a request.
  std::string path() const;
  /// Of a response.
  int status() const;
};

/// One connection. All functions return false, or nothing, once it has ended.
class Channel {
public:
  explicit Channel(int Socket) : Socket(Socket) {}
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  static std::unique_ptr<Channel> connect(const std::string &Ip,
                                          std::uint16_t Port,
                                          int ReceiveBufferBytes = 0);
  void setTimeout(double Seconds);
  std::optional<HttpMessage> readHead();
  bool readBody(HttpMessage &Message);
  std::optional<HttpMessage> readMessage();
  /// \returns the next chunk; an empty one is the last.
  std::optional<std::string> readChunk();
  /// Reads what has arrived, \p Max bytes at most.
  std::string readSome(std::size_t Max);
  bool send(std::string_view Bytes);
  /// Sends what can be sent without waiting. \returns how many bytes, and
  /// nothing if the connection has ended.
  std::optional<std::size_t> sendNow(std::string_view Bytes);
  /// Ends the connection with a reset.
  void reset();

private:
  bool receive();
  bool readLine(std::string &Line);
  bool readExactly(std::size_t Bytes, std::string &Out);

  int Socket;
  std::string Buffer;
};

/// Accepts connections until it is stopped.
class Listener {
public:
  using Serve = std::function<void(Channel &)>;

  explicit Listener(Serve Handler, std::uint16_t Port = 0);
  std::uint16_t port() const { return this->Port; }
  /// Closes the port and resets all connections, as the kernel does for a
  /// process that was killed while it had unread bytes.
  void crash();

private:
  struct State {
    std::mutex Lock;
    std::set<Channel *> Open;
    std::atomic<bool> IsStopped{false};
    Serve Handler;
  };

  std::shared_ptr<State> Shared = std::make_shared<State>();
  int Socket = -1;
  std::uint16_t Port = 0;
};

/// The platform's store. Every relay has a port of its own, which can fall
/// silent by itself.
class Store {
public:
  /// \returns the number of a new port.
  std::size_t open();
  std::string address(std::size_t Number) const;
  void setSilent(std::size_t Number, bool IsSilent);
  /// Appends a record on behalf of another writer.
  void put(std::string_view Topic, const std::string &Key,
           const std::string &Value);
  void putConfig(const nlohmann::json &Config);

private:
  struct Port {
    std::unique_ptr<Listener> Server;
    std::atomic<bool> IsSilent{false};
  };
  struct Answer {
    int Status = 200;
    std::string Body;
  };
  using Query = std::map<std::string, std::string>;

  void serve(Channel &Client, Port &At);
  Answer answer(const HttpMessage &Request, const Port &At);
  struct Topic {
    std::vector<std::string> Records;
    /// The offset of the newest record of each key that has a value.
    std::map<std::string, std::size_t> Newest;

    void add(std::string Content);
  };

  Answer append(Topic &To, const Query &Fields, std::string_view Body);
  static Answer newest(const Topic &From, const std::string &After);

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Topic> Topics;
  std::vector<std::unique_ptr<Port>> Ports;
};

/// A target. Lists itself in the store as often as the pages say.
class Target {
public:
  /// What it does with a request that it has begun to execute.
  using Execute =
      std::function<void(Target &, Channel &, const HttpMessage &Request)>;

  struct Options {
    std::string Id;
    std::string Service;
    std::string Version = "v1";
    std::string Domain = "zone-a";
    std::uint16_t Port = 0;
    /// It does not reach the store.
    bool IsCutOff = false;
    /// Whether the record holds each request that it executes.
    bool IsLogged = true;
  };

  Target(Store &Platform, Record &Log, Options Chosen, Execute Run);

  const Options &options() const { return this->Chosen; }
  std::uint16_t port() const { return this->Server->port(); }
  /// From now on, it does not reach the store.
  void cutOff() { this->IsCutOff = true; }
  /// Ends without a word to the store.
  void crash();
  /// When it last listed itself.
  double listedAt() const { return this->ListedAt; }
  bool isAlive() const { return this->IsAlive; }
  /// Begins to leave: from now on, its entry in the store says so.
  void leave();
  /// Sends a complete answer with the target's proof.
  void answer(Channel &To, const HttpMessage &Request, const std::string &Body);
  /// Sends the head of a stream in chunks.
  void beginStream(Channel &To, const HttpMessage &Request);

  struct Execution {
    double At = 0;
    std::string CallId;
    std::string Line;
    std::size_t BodyBytes = 0;
  };
  std::vector<Execution> executions();

private:
  void serve(Channel &Client);
  void list();
  std::string headOf(const HttpMessage &Request) const;

  Store &Platform;
  Record &Log;
  Options Chosen;
  Execute Run;
  std::int64_t StartedAt;
  std::atomic<bool> IsCutOff;
  std::atomic<bool> IsAlive{true};
  std::atomic<double> ListedAt{0};
  std::atomic<bool> IsLeaving{false};
  std::mutex Lock;
  std::uint64_t Sequence = 0;
  std::vector<Execution> Executed;
  std::unique_ptr<Listener> Server;
};

struct MachineSize {
  int MemoryMb = 260;
  int Descriptors = 4200;
};

/// One relay, as a process that the command of the deploy file starts.
class Relay {
public:
  Relay(Store &Platform, Record &Log, std::string Name, std::string Domain,
        MachineSize Size = {});
  ~Relay() { this->kill(); }

  /// \returns whether it got ready within \p Limit seconds, and still runs.
  bool start(double Limit = 10);
  void kill();
  /// Sends SIGTERM, and waits until the process has ended.
  void stop();
  /// What the process holds, with what the kernel has received from clients for
  /// it, in bytes.
  std::size_t memory() const;
  int memoryMb() const { return this->Size.MemoryMb; }
  const std::string &name() const { return this->Name; }
  bool isRunning();
  const std::string &ip() const { return this->Ip; }
  std::size_t storePort() const { return this->StorePort; }

private:
  Store &Platform;
  Record &Log;
  std::string Name;
  std::string Domain;
  std::string Ip;
  std::string Folder;
  std::size_t StorePort;
  MachineSize Size;
  std::atomic<pid_t> Process{-1};
};

/// Ends relays that take more memory than their machine has, as the platform
/// does, until it is destroyed.
class MemoryWatch {
public:
  MemoryWatch(std::vector<Relay *> Fleet, Record &Log);
  ~MemoryWatch();

  /// How often each relay was ended.
  std::vector<int> ended() const;
  /// The most that any relay has held, in bytes.
  std::size_t peak() const { return this->Peak; }

private:
  void run();

  std::vector<Relay *> Fleet;
  Record &Log;
  std::vector<std::atomic<int>> Ended;
  std::atomic<std::size_t> Peak{0};
  std::atomic<bool> IsOver{false};
  std::thread Runner;
};

/// A client that keeps its connection.
class Client {
public:
  explicit Client(std::string Ip, int ReceiveBufferBytes = 0)
      : Ip(std::move(Ip)), ReceiveBufferBytes(ReceiveBufferBytes) {}

  struct Call {
    std::string Method = "POST";
    std::string Path;
    std::string Body;
    int DeadlineMs = 12000;
    /// Complete lines.
    std::string Fields;
  };

  /// Sends a request. \returns the id of the attempt; empty if there is no
  /// connection.
  std::string send(const Call &Request);
  /// Sends a request and reads the whole answer, which isn't a stream.
  /// \returns nothing if the connection ended before.
  std::optional<HttpMessage> exchange(const Call &Request);
  /// Null if there is no connection.
  Channel *channel() { return this->Connection.get(); }

private:
  std::string Ip;
  int ReceiveBufferBytes;
  std::unique_ptr<Channel> Connection;
};

/// \returns an id that no other call has.
std::string newCallId();

/// What a route of the configuration may have besides its basic fields.
struct RouteOptions {
  bool IsPublic = true;
  bool IsResumable = false;
  bool HasPrompt = false;
  int Attempts = 1;
  int TimeoutMs = 12000;
};

nlohmann::json makeRoute(const std::string &Name, const std::string &Kind,
                         const std::string &Service,
                         const RouteOptions &Options = {});
/// A configuration with these routes and plain services.
nlohmann::json makeConfig(std::vector<nlohmann::json> Routes,
                          const std::vector<std::string> &Services);

extern const char *const RouteHost;

/// Makes an object that lasts until the end of the process: threads of the
/// stand-ins use it until then.
template <typename Object, typename... Parameters>
Object &keep(Parameters &&...Given) {
  static std::vector<std::shared_ptr<Object>> Kept;
  Kept.push_back(std::make_shared<Object>(std::forward<Parameters>(Given)...));
  return *Kept.back();
}

/// Runs one case: main() of every program. \p Play returns whether the rule was
/// kept, or nothing if the case could not run. Never returns.
[[noreturn]] void
runCase(int Count, char **Arguments,
        const std::function<std::optional<bool>(Record &Log, bool HasTrouble)>
            &Play);

} // namespace bergamothook::review

#endif
