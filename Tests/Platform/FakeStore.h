/// \file
/// An in-memory fake of the platform's store, served over HTTP.

#ifndef BERGAMOTHOOK_TESTS_PLATFORM_FAKESTORE_H
#define BERGAMOTHOOK_TESTS_PLATFORM_FAKESTORE_H

#include "LibNet/HttpReader.h"
#include "LibNet/TcpListener.h"
#include "platform/StoreRecords.h"

#include <map>
#include <nlohmann/json.hpp>

namespace bergamothook {

/// The fault that the store injects into calls.
enum class StoreFault {
  None,
  /// Responds with 503 without executing the call.
  Unavailable,
  /// Responds with 429 without executing the call.
  RateLimited,
  /// Executes the call and closes the connection without a response.
  DropResponse,
  /// Closes the connection without executing the call.
  CloseUnprocessed,
};

/// Every topic has a single partition.
class FakeStore {
public:
  explicit FakeStore(NetRuntime &Loop);

  Result<void> start() { return this->Port.start(); }

  /// Stops accepting connections and waits for the tasks of the open ones,
  /// which end when their clients close.
  void stop();

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Port.port());
  }

  /// Appends a record on behalf of another writer.
  void put(const std::string &Topic, std::string_view Key,
           std::string_view Value);

  /// Drops all records of a topic except the newest of each key.
  void compact(const std::string &Topic);

  /// Comes back from a copy that lacks the newest \p Lost records of a topic.
  void restore(const std::string &Topic, std::size_t Lost);

  StoreFault Fault = StoreFault::None;
  /// If set, responses are sent in pieces of that size, with a pause after
  /// each.
  std::size_t PieceBytes = 0;
  Duration PiecePause{};
  /// If set, no response is sent beyond that many bytes.
  std::optional<std::size_t> StallAfter;
  /// How much less than the requested size a read returns.
  std::size_t FetchOverhead = 0;
  /// The calls received, without their arguments.
  std::vector<std::string> Calls;
  /// Called before each call is executed, with its path.
  std::function<void(const std::string &)> OnCall = [](const std::string &) {};
  /// What a list of newest records holds first, besides the records.
  std::vector<nlohmann::json> OddEntries;

private:
  struct Topic {
    std::vector<std::string> Records;
    std::size_t FirstRetained = 0;
  };

  struct Response {
    unsigned Status = 200;
    std::string Body;
  };

  void serve(const TcpConnection::Handle &Connection);
  Result<void> send(TcpConnection &To, std::string_view Bytes,
                    TimePoint Deadline) const;
  Response answer(const HttpRequestMessage &Message);
  Response append(Topic &To, const std::map<std::string, std::string> &Query,
                  std::string_view Body);
  Response read(const Topic &From,
                const std::map<std::string, std::string> &Query) const;
  Response newest(const Topic &Selected) const;

  Runtime Tasks;
  std::uint64_t Era = 0;
  std::map<std::string, Topic> Topics;
  TcpListener Port;
};

} // namespace bergamothook

#endif
