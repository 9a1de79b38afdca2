/// \file
/// A TCP connection for use by tasks: a receive buffer, a send queue, and one
/// event that signals any change.

#ifndef BERGAMOTHOOK_LIBNET_TCPCONNECTION_H
#define BERGAMOTHOOK_LIBNET_TCPCONNECTION_H

#include "LibBase/Result.h"
#include "LibNet/MemoryBudget.h"
#include "LibNet/NetError.h"
#include "LibNet/NetRuntime.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace bergamothook {

struct TcpLimits {
  /// Bytes received and not yet consumed beyond which reading pauses.
  std::size_t MaxUnread = 64 * 1024;
  /// Bytes not yet sent beyond which write() waits.
  std::size_t MaxUnsent = 256 * 1024;
  /// How long sent data may stay unacknowledged before the connection counts as
  /// lost. Leaves time for two retransmissions on a lossy link.
  Duration UnacknowledgedLimit = std::chrono::seconds(4);
  /// What the kernel receives ahead of the process counts as memory of the
  /// process too.
  int ReceiveBufferBytes = 32 * 1024;
  /// The same of what the kernel has yet to send; it allocates up to twice as
  /// much. 0 leaves the size to the kernel, which lets it grow to megabytes
  /// while the peer does not read.
  int SendBufferBytes = 0;
  /// Counts the bytes that the connection holds for \c Owners; null if they are
  /// not bounded in sum.
  MemoryBudgetHandle Memory;
  std::vector<MemoryOwner> Owners;
  TrafficClass Traffic = TrafficClass::Service;
};

/// For waits that only their deadline ends.
inline bool neverCancelled() { return false; }

/// A connection that continuously reads ahead, so that it notices when the peer
/// closes even while its owner waits for something else. Reference-counted,
/// since completion handlers keep it alive.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
  using Handle = std::shared_ptr<TcpConnection>;

  /// Wraps an accepted socket and starts reading.
  static Handle adopt(NetRuntime &Loop, boost::asio::ip::tcp::socket Socket,
                      TcpLimits Limits);

  /// Connects to \p Address, given as IP:PORT. NetError::ConnectFailed proves
  /// that no byte was sent.
  static Result<Handle> connect(NetRuntime &Loop, const std::string &Address,
                                TcpLimits Limits, TimePoint Deadline);

  /// As above. The wait also ends once \p IsCancelled returns true; notify \p
  /// Changed when that may have changed.
  static Result<Handle> connect(NetRuntime &Loop, const std::string &Address,
                                TcpLimits Limits, TimePoint Deadline,
                                Event &Changed,
                                const std::function<bool()> &IsCancelled);

  ~TcpConnection();

  /// Notifies \p Changed instead of the previous event whenever data arrives,
  /// queued data is sent, or the connection ends. Null detaches the event; see
  /// ScopedEventAttachment.
  void attach(Event *Changed);

  /// \returns the bytes that were received and not yet consumed.
  std::string_view unread() const {
    return std::string_view(this->Received).substr(this->Consumed);
  }

  void consume(std::size_t Bytes);

  /// Reads what the kernel has received, which the event loop may not have
  /// handled yet, as far as there is memory. \returns whether bytes are unread.
  bool readArrived();

  /// \returns whether the kernel has received bytes that were not read yet.
  bool hasArrived() const;

  /// \returns whether nothing is unread and the peer has not ended the
  /// connection, as far as the kernel knows.
  bool isQuiet();

  /// Counts \p Bytes of messages that the user of the connection keeps.
  /// \returns false if there is no memory for them.
  bool keep(std::size_t Bytes);

  /// Sets on whose behalf bytes are held from now on.
  void setOwners(std::vector<MemoryOwner> Owners) {
    this->Memory.setOwners(std::move(Owners));
  }

  /// \returns whether reading has stopped since there is no memory for more.
  bool lacksMemory() const { return this->LacksMemory; }

  /// Reads on if there is memory again: another connection that asked for
  /// memory at the same time may have given up. \returns false if there is
  /// none.
  bool resumeReading();

  /// \returns whether reading has stopped since too much is unread.
  bool isFull() const {
    return this->unread().size() >= this->Limits.MaxUnread;
  }

  /// \returns whether the peer closed the connection or it was lost.
  bool hasEnded() const { return this->HasEnded; }

  /// \returns whether the connection was lost rather than closed by the peer.
  bool wasLost() const { return this->WasLost; }

  /// \returns whether the peer closed the connection after it had received all
  /// that was sent, and has not reset it since.
  bool hasEndedInOrder();

  /// \returns NetError::Reset or NetError::Closed, by how the connection ended.
  std::error_code endReason() const;

  /// Sends \p Bytes, immediately as far as possible, and queues the rest. A
  /// full send queue blocks the calling task, at most until \p Deadline or
  /// until \p IsCancelled returns true. After NetError::Reset, unread() holds
  /// what the peer sent before, as far as there is room.
  Result<void> write(std::string_view Bytes, TimePoint Deadline,
                     const std::function<bool()> &IsCancelled = neverCancelled);

  /// Sends the head and the body of a message. See write().
  Result<void>
  writeMessage(std::string Head, std::string_view Body, TimePoint Deadline,
               const std::function<bool()> &IsCancelled = neverCancelled);

  /// As write(), but allows \p StallTimeout for each part, so that a peer that
  /// reads slowly gets all bytes.
  Result<void>
  writeAsRead(std::string_view Bytes, Duration StallTimeout,
              const std::function<bool()> &IsCancelled = neverCancelled);

  /// As writeMessage(), for a peer that may read slowly. See writeAsRead().
  Result<void> writeMessageAsRead(std::string Head, std::string_view Body,
                                  Duration StallTimeout);

  /// Waits until the kernel has accepted all queued bytes.
  Result<void> flush(TimePoint Deadline,
                     const std::function<bool()> &IsCancelled = neverCancelled);

  std::size_t unsent() const { return this->Unsent.size() - this->Sent; }

  /// Flushes the send queue, shuts down the sending side, and closes once the
  /// peer has closed too, or at \p Deadline. A plain close() with unread bytes
  /// would reset the connection, and the peer could lose the last response.
  /// \returns how many received bytes were discarded.
  std::size_t finish(TimePoint Deadline);

  /// As finish(), but reads nothing any more, for a connection without an
  /// unacknowledged response. Bytes that arrive meanwhile reset the connection,
  /// which tells the peer that they were not processed. \returns how many
  /// arrived.
  std::size_t finishUnread(TimePoint Deadline);

  /// Closes the connection once the queued bytes are sent. Bytes received from
  /// now on are dropped.
  void close();

  /// Resets the connection immediately.
  void abort();

  /// Closes the connection and ends the waits of its user. The kernel still
  /// sends what it has accepted. If there are queued bytes, these are dropped
  /// and the connection is reset; otherwise, \p LastBytes are sent before, as
  /// far as the kernel accepts them.
  void evict(std::string_view LastBytes = {});

  bool isClosed() const { return this->IsClosed; }

  TimePoint createdAt() const { return this->CreatedAt; }

  /// The process at the other end, as far as the user of the connection has
  /// made sure of it. It stays the same for as long as the connection is open.
  const std::string &peer() const { return this->Peer; }
  void setPeer(std::string Name) { this->Peer = std::move(Name); }

  std::uint64_t bytesSent() const { return this->TotalSent; }
  std::uint64_t bytesReceived() const { return this->TotalReceived; }

private:
  TcpConnection(NetRuntime &Loop, boost::asio::ip::tcp::socket Socket,
                TcpLimits Limits);

  void setOptions();
  std::size_t heldBytes() const {
    return this->unread().size() + this->unsent() + this->Kept;
  }
  /// \returns how many bytes may be read now.
  std::size_t roomToRead();
  Result<void> writeInParts(std::string_view Bytes, TimePoint Deadline,
                            const std::function<bool()> &IsCancelled);
  Result<void> awaitSending(TimePoint Deadline,
                            const std::function<bool()> &IsCancelled,
                            const std::function<bool()> &IsSent);
  void readAhead();
  void onReadable(const boost::system::error_code &WaitFailure);
  void receive();
  std::size_t available() const;
  void sendQueued();
  void sendNow();
  void countSent(std::size_t Bytes);
  void onSendFailed();
  void onWritable(const boost::system::error_code &WaitFailure);
  void end(bool IsLoss);
  void notify();
  void finishClose();

  NetRuntime &Loop;
  std::shared_ptr<NetTraffic> Traffic;
  Runtime Tasks;
  boost::asio::ip::tcp::socket Socket;
  TcpLimits Limits;
  Event DefaultEvent;
  Event *Changed = &this->DefaultEvent;
  std::string Received;
  std::size_t Consumed = 0;
  std::string Unsent;
  std::size_t Sent = 0;
  std::uint64_t TotalSent = 0;
  std::uint64_t TotalReceived = 0;
  MemoryHold Memory;
  std::size_t Kept = 0;
  TimePoint CreatedAt;
  std::string Peer;
  bool LacksMemory = false;
  bool IsReading = false;
  /// Bytes that arrive are left unread.
  bool IsLeftUnread = false;
  bool IsSending = false;
  bool HasEnded = false;
  bool WasLost = false;
  bool IsClosing = false;
  bool IsClosed = false;
};

/// Attaches an event to a connection for the duration of a scope.
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
