/// \file
/// One TCP connection as a task sees it: bytes that have arrived, bytes that
/// wait to be sent, and one event that tells of any change.

#ifndef BERGAMOTHOOK_LIBNET_TCPCONNECTION_H
#define BERGAMOTHOOK_LIBNET_TCPCONNECTION_H

#include "LibBase/Result.h"
#include "LibNet/NetError.h"
#include "LibNet/NetRuntime.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace bergamothook {

struct TcpLimits {
  /// Bytes received and not yet taken, beyond which reading pauses.
  std::size_t MaxUnread = 64 * 1024;
  /// Bytes not yet sent, beyond which write() waits.
  std::size_t MaxUnsent = 256 * 1024;
  /// How long sent bytes may go without acknowledgement before the connection
  /// counts as lost. Two retransmissions of a lossy link fit in.
  Duration UnacknowledgedLimit = std::chrono::seconds(4);
};

/// A connection. It reads ahead all the time, so that the end of the other side
/// is noticed also while its owner waits for something else. Completion
/// handlers keep the object alive; therefore it is held by a counted handle.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
  using Handle = std::shared_ptr<TcpConnection>;

  /// Wraps a socket that was accepted, and begins to read.
  static Handle adopt(NetRuntime &Loop, boost::asio::ip::tcp::socket Socket,
                      TcpLimits Limits);

  /// Connects to \p Address, written as IP:PORT. NetError::ConnectFailed proves
  /// that no byte was sent.
  static Result<Handle> connect(NetRuntime &Loop, const std::string &Address,
                                TcpLimits Limits, TimePoint Deadline);

  ~TcpConnection();

  /// Tells \p Changed of every arrival and end from now on, in place of the
  /// event told before. A null pointer ends that; see ScopedEventAttachment.
  void attach(Event *Changed);

  /// The bytes that arrived and were not taken.
  std::string_view unread() const {
    return std::string_view(this->Received).substr(this->Taken);
  }

  void take(std::size_t Bytes);

  /// Tells whether the other side has ended the connection in either way.
  bool hasEnded() const { return this->HasEnded; }

  /// Tells whether the connection was lost, not closed in the regular way.
  bool wasLost() const { return this->WasLost; }

  /// The error that stands for the end of the connection.
  std::error_code endReason() const;

  /// Sends \p Bytes, as far as possible at once. A full queue blocks the
  /// calling task, at most until \p Deadline.
  Result<void> write(std::string_view Bytes, TimePoint Deadline);

  /// Waits until every byte was handed to the network.
  Result<void> flush(TimePoint Deadline);

  std::size_t unsent() const { return this->Unsent.size() - this->Sent; }

  /// Sends what was written, tells the other side that no more comes, and
  /// closes once it has closed too, or at \p Deadline. A plain close() with
  /// bytes unread would reset the connection and could destroy the last answer
  /// on its way.
  void finish(TimePoint Deadline);

  /// Closes the connection after what was written so far. Bytes that arrive
  /// afterwards are dropped.
  void close();

  /// Closes the connection at once with a reset.
  void abort();

  bool isClosed() const { return this->IsClosed; }

  std::uint64_t bytesSent() const { return this->TotalSent; }

private:
  TcpConnection(NetRuntime &Loop, boost::asio::ip::tcp::socket Socket,
                TcpLimits Limits);

  void setOptions();
  void readAhead();
  void onReadable(const boost::system::error_code &WaitFailure);
  void sendQueued();
  void onWritable(const boost::system::error_code &WaitFailure);
  void end(bool IsLoss);
  void notify();
  void finishClose();

  NetRuntime &Loop;
  Runtime Tasks;
  boost::asio::ip::tcp::socket Socket;
  TcpLimits Limits;
  Event Own;
  Event *Changed = &this->Own;
  std::string Received;
  std::size_t Taken = 0;
  std::string Unsent;
  std::size_t Sent = 0;
  std::uint64_t TotalSent = 0;
  bool IsReading = false;
  bool IsSending = false;
  bool HasEnded = false;
  bool WasLost = false;
  bool IsClosing = false;
  bool IsClosed = false;
};

/// Attaches an event to a connection for the length of a scope.
class ScopedEventAttachment {
public:
  ScopedEventAttachment(TcpConnection::Handle Connection, Event &Changed)
      : Connection(std::move(Connection)) {
    this->Connection->attach(&Changed);
  }
  ~ScopedEventAttachment() { this->Connection->attach(nullptr); }
  ScopedEventAttachment(const ScopedEventAttachment &) = delete;
  ScopedEventAttachment &operator=(const ScopedEventAttachment &) = delete;

private:
  TcpConnection::Handle Connection;
};

/// Parses IP:PORT. NetError::Malformed for anything else.
Result<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address);

} // namespace bergamothook

#endif
