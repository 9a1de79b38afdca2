/// \file
/// The open connections of a listening port, in the order in which they are
/// closed when it has too many.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_CONNECTIONROSTER_H
#define BERGAMOTHOOK_LIBRELAYFRONT_CONNECTIONROSTER_H

#include "LibNet/TcpConnection.h"

#include <functional>
#include <map>
#include <tuple>

namespace bergamothook {

/// What a connection does.
enum class ConnectionPhase {
  /// The last response was sent; the client has yet to close its side.
  Closing,
  /// No complete request was received yet.
  FirstRequest,
  /// A later request has begun to arrive.
  NextRequest,
  /// All requests were answered.
  Idle,
  /// A request is being answered; never evicted.
  Answering,
};

/// Evicts connections in this order, the one that has been in its phase for the
/// longest time first: those that are closing, those that have had the time to
/// send a request and did not complete it, idle ones, and last those whose
/// request has just begun to arrive. Not thread-safe.
class ConnectionRoster {
public:
  /// Formats the response to a request that has begun to arrive on a connection
  /// that is closed. Nothing is sent if it is empty.
  using FormatRefusal = std::function<std::string()>;

  /// \p Address names the port in log lines.
  explicit ConnectionRoster(std::string Address, FormatRefusal Refusal = {})
      : Address(std::move(Address)), Refusal(std::move(Refusal)) {}

  /// The entry of one connection, for the duration of a scope.
  class Entry {
  public:
    Entry(ConnectionRoster &Roster, TcpConnection::Handle Connection,
          TimePoint Now);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    void enter(ConnectionPhase Phase, TimePoint Now);

  private:
    friend class ConnectionRoster;

    ConnectionRoster &Roster;
    TcpConnection::Handle Connection;
    std::tuple<ConnectionPhase, TimePoint, std::uint64_t> Rank;
    /// When the connection was last seen to send, and its bytes sent by then.
    TimePoint SentAt{};
    std::uint64_t BytesSent = 0;
  };

  /// Closes one connection. \returns false if none may be closed: all are
  /// answering, or still send a response that they have had little time for.
  bool evictOne(TimePoint Now);

  std::uint64_t evictions() const { return this->Evictions; }

private:
  /// Closes the oldest connection in \p Phase that has been in it for \p
  /// MinAge.
  bool evictFrom(ConnectionPhase Phase, Duration MinAge, TimePoint Now);
  /// \returns whether a connection still sends a response, or has received
  /// bytes of a request that its task has not read yet.
  static bool isBusy(Entry &Candidate, TimePoint Now);
  /// \returns whether a part of an unanswered request was read.
  static bool hasBegun(const Entry &Candidate);
  void log(ConnectionPhase Phase, TimePoint Now);

  std::string Address;
  FormatRefusal Refusal;
  std::map<std::tuple<ConnectionPhase, TimePoint, std::uint64_t>, Entry *>
      ByRank;
  std::uint64_t LastEntry = 0;
  std::uint64_t Evictions = 0;
  std::uint64_t LoggedEvictions = 0;
  TimePoint NextLogAt{};
};

} // namespace bergamothook

#endif
