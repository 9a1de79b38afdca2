/// \file
/// The platform's store in the memory of a test, over HTTP.

#ifndef BERGAMOTHOOK_TESTS_PLATFORM_FAKESTORE_H
#define BERGAMOTHOOK_TESTS_PLATFORM_FAKESTORE_H

#include "LibNet/HttpReader.h"
#include "LibNet/TcpListener.h"
#include "platform/StoreRecords.h"

#include <map>

namespace bergamothook {

/// What the store does with the next calls.
enum class StoreFault {
  None,
  /// 503: nothing is done.
  Busy,
  /// 429: nothing is done.
  Limited,
  /// The call is executed, and its connection closed without an answer.
  LoseAnswer,
  /// The connection is closed, and nothing is done.
  Refuse,
};

/// Topics of one partition each.
class FakeStore {
public:
  explicit FakeStore(NetRuntime &Loop);

  Result<void> start() { return this->Port.start(); }

  /// Accepts nothing more, and waits for the tasks of all connections, which
  /// end when their clients close.
  void stop();

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Port.port());
  }

  /// Adds a record as another writer would.
  void put(const std::string &Topic, std::string_view Key,
           std::string_view Value);

  /// Forgets all records of a topic below its end; the newest of each key stay.
  void compact(const std::string &Topic);

  StoreFault Fault = StoreFault::None;

private:
  struct Topic {
    std::vector<std::string> Records;
    std::size_t FirstRetained = 0;
  };

  struct Answer {
    unsigned Status = 200;
    std::string Body;
  };

  void serve(const TcpConnection::Handle &Connection);
  Answer answer(const HttpRequestMessage &Message);
  Answer append(Topic &To, const std::map<std::string, std::string> &Query,
                std::string_view Body);
  static Answer read(const Topic &From,
                     const std::map<std::string, std::string> &Query);
  static Answer newest(const Topic &Of);

  Runtime Tasks;
  std::map<std::string, Topic> Topics;
  TcpListener Port;
};

} // namespace bergamothook

#endif
