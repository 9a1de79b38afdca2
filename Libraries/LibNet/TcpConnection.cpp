#include "LibNet/TcpConnection.h"

#include "LibNet/SocketState.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <cerrno>
#include <charconv>
#include <netinet/tcp.h>
#include <new>
#include <sys/socket.h>
#include <utility>

namespace bergamothook {

namespace {
/// Larger than a typical burst of events.
constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// Up to this size, one write with a copy is cheaper than two writes.
constexpr std::size_t MaxCopiedBytes = 16 * 1024;
/// A peer that reads less than this within the timeout has stalled.
constexpr std::size_t MaxStalledBytes = 32 * 1024;
/// Less is not worth a system call.
constexpr std::size_t MinReadBytes = 2 * 1024;
} // namespace

using boost::asio::ip::tcp;

Result<tcp::endpoint> parseEndpoint(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return NetError::Malformed;
  boost::system::error_code Failure;
  auto Host = boost::asio::ip::make_address(Address.substr(0, Colon), Failure);
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  auto Parsed = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Failure || Parsed.ec != std::errc() || Parsed.ptr != End || Port == 0)
    return NetError::Malformed;
  return tcp::endpoint(Host, Port);
}

TcpConnection::TcpConnection(NetRuntime &Loop, tcp::socket Socket,
                             TcpLimits Limits)
    : Loop(Loop), Traffic(Loop.traffic(Limits.Traffic)), Tasks(Loop.hooks()),
      Socket(std::move(Socket)), Limits(std::move(Limits)),
      Memory(this->Limits.Memory, this->Limits.Owners),
      CreatedAt(this->Tasks.Now()) {}

TcpConnection::~TcpConnection() {
  boost::system::error_code Ignored; // A destructor can't report errors.
  this->Socket.close(Ignored);
}

TcpConnection::Handle TcpConnection::adopt(NetRuntime &Loop, tcp::socket Socket,
                                           TcpLimits Limits) {
  Handle Connection(
      new TcpConnection(Loop, std::move(Socket), std::move(Limits)));
  Connection->setOptions();
  Connection->readAhead();
  return Connection;
}

Result<TcpConnection::Handle> TcpConnection::connect(NetRuntime &Loop,
                                                     const std::string &Address,
                                                     TcpLimits Limits,
                                                     TimePoint Deadline) {
  Event Changed;
  return connect(Loop, Address, std::move(Limits), Deadline, Changed,
                 neverCancelled);
}

Result<TcpConnection::Handle>
TcpConnection::connect(NetRuntime &Loop, const std::string &Address,
                       TcpLimits Limits, TimePoint Deadline, Event &Changed,
                       const std::function<bool()> &IsCancelled) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return NetError::ConnectFailed;
  boost::system::error_code Ignored; // Options are best effort.
  tcp::socket Socket(Loop.context());
  Socket.open(Endpoint.value().protocol(), Ignored);
  Socket.set_option(
      boost::asio::socket_base::receive_buffer_size(Limits.ReceiveBufferBytes),
      Ignored);
  Handle Connection(
      new TcpConnection(Loop, std::move(Socket), std::move(Limits)));
  // Shared with the handler, which may run after this call has returned.
  struct Progress {
    bool IsDone = false;
    bool HasFailed = false;
  };
  auto Attempt = std::make_shared<Progress>();
  ScopedEventAttachment Attached(Connection, Changed);
  Connection->Socket.async_connect(
      Endpoint.value(),
      [Connection, Attempt](const boost::system::error_code &Failure) {
        Attempt->IsDone = true;
        Attempt->HasFailed = static_cast<bool>(Failure);
        Connection->notify();
      });
  Connection->Tasks.waitUntil(Changed, Deadline,
                              [&] { return Attempt->IsDone || IsCancelled(); });
  if (!Attempt->IsDone || Attempt->HasFailed) {
    Connection->abort();
    return NetError::ConnectFailed;
  }
  Connection->setOptions();
  Connection->readAhead();
  return Connection;
}

void TcpConnection::setOptions() {
  boost::system::error_code Ignored; // Options are best effort.
  this->Socket.non_blocking(true, Ignored);
  this->Socket.set_option(tcp::no_delay(true), Ignored);
  int Milliseconds =
      static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                           this->Limits.UnacknowledgedLimit)
                           .count());
  ::setsockopt(this->Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &Milliseconds, sizeof(Milliseconds));
}

void TcpConnection::attach(Event *Target) {
  this->Changed = Target ? Target : &this->DefaultEvent;
}

void TcpConnection::notify() { this->Changed->notify(); }

bool TcpConnection::hasEndedInOrder() {
  return this->HasEnded && !this->WasLost && this->unsent() == 0 &&
         hasPeerReceivedAll(this->Socket.native_handle());
}

std::error_code TcpConnection::endReason() const {
  return this->WasLost ? NetError::Reset : NetError::Closed;
}

void TcpConnection::consume(std::size_t Bytes) {
  this->Consumed += Bytes;
  if (this->Consumed == this->Received.size()) {
    this->Received.clear();
    this->Consumed = 0;
    if (this->Received.capacity() > ReadBufferBytes)
      this->Received.shrink_to_fit();
  }
  this->Memory.resize(this->heldBytes());
  this->readAhead();
}

bool TcpConnection::keep(std::size_t Bytes) {
  std::size_t Before = std::exchange(this->Kept, Bytes);
  if (!this->Memory.resize(this->heldBytes())) {
    this->Kept = Before;
    return false;
  }
  if (Bytes < Before)
    this->readAhead();
  return true;
}

bool TcpConnection::resumeReading() {
  if (this->roomToRead() == 0)
    return false;
  this->readAhead();
  return true;
}

std::size_t TcpConnection::roomToRead() {
  std::size_t Held = this->heldBytes();
  std::size_t Free = this->Memory.freeBytes();
  if (Held + MinReadBytes <= Free)
    return std::min(ReadBufferBytes, Free - Held);
  return this->Memory.resize(Held + ReadBufferBytes) ? ReadBufferBytes : 0;
}

void TcpConnection::readAhead() {
  if (this->IsReading || this->HasEnded || this->IsClosed || this->isFull())
    return;
  this->IsReading = true;
  this->LacksMemory = false;
  this->Socket.async_wait(tcp::socket::wait_read,
                          [Self = this->shared_from_this()](
                              const boost::system::error_code &Failure) {
                            Self->onReadable(Failure);
                          });
}

void TcpConnection::onReadable(const boost::system::error_code &WaitFailure) {
  this->IsReading = false;
  if (this->IsClosed)
    return;
  if (WaitFailure)
    return this->end(true);
  // Without bytes, the peer has closed its side.
  if (this->IsLeftUnread && this->available() > 0)
    return this->notify();
  this->receive();
}

void TcpConnection::receive() {
  // Shared by all connections of the thread, so that idle connections hold no
  // buffer.
  static thread_local std::array<char, ReadBufferBytes> ReadBuffer;
  std::size_t Room = this->IsClosing ? ReadBufferBytes : this->roomToRead();
  if (Room == 0) {
    // Reading goes on when the user of the connection consumes bytes.
    this->LacksMemory = true;
    return this->notify();
  }
  boost::system::error_code Failure;
  std::size_t Bytes = this->Socket.read_some(
      boost::asio::buffer(ReadBuffer.data(), Room), Failure);
  if (Failure == boost::asio::error::would_block) {
    this->readAhead();
    return;
  }
  if (Failure)
    return this->end(Failure != boost::asio::error::eof);
  this->Traffic->BytesReceived += Bytes;
  this->TotalReceived += Bytes;
  if (!this->IsClosing) {
    if (this->Consumed > 0) {
      this->Received.erase(0, this->Consumed);
      this->Consumed = 0;
    }
    try {
      this->Received.append(ReadBuffer.data(), Bytes);
    } catch (const std::bad_alloc &) {
      return this->end(true);
    }
    this->Memory.resize(this->heldBytes());
  }
  this->readAhead();
  this->notify();
}

bool TcpConnection::readArrived() {
  // Without memory, the wait in progress reports it.
  if (!this->IsClosed && !this->IsClosing && !this->HasEnded &&
      !this->isFull() && this->available() > 0 && this->roomToRead() > 0)
    this->receive();
  return !this->unread().empty() || this->hasArrived();
}

bool TcpConnection::hasArrived() const {
  return !this->IsClosed && this->available() > 0;
}

bool TcpConnection::isQuiet() {
  if (this->HasEnded || this->IsClosed || !this->unread().empty())
    return false;
  char Byte = 0;
  return ::recv(this->Socket.native_handle(), &Byte, sizeof(Byte),
                MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

std::size_t TcpConnection::available() const {
  boost::system::error_code Ignored; // No bytes can be read then.
  return this->Socket.available(Ignored);
}

void TcpConnection::end(bool IsLoss) {
  this->HasEnded = true;
  this->WasLost = this->WasLost || IsLoss;
  if (this->IsClosing)
    this->finishClose();
  this->notify();
}

Result<void> TcpConnection::write(std::string_view Bytes, TimePoint Deadline,
                                  const std::function<bool()> &IsCancelled) {
  if (this->IsClosed || this->WasLost)
    return NetError::Reset;
  if (!this->IsSending && this->unsent() == 0) {
    boost::system::error_code Failure;
    std::size_t Written = this->Socket.write_some(
        boost::asio::buffer(Bytes.data(), Bytes.size()), Failure);
    if (Failure && Failure != boost::asio::error::would_block) {
      this->onSendFailed();
      return NetError::Reset;
    }
    this->countSent(Written);
    Bytes.remove_prefix(Written);
  }
  if (Bytes.empty())
    return success();
  if (!this->Memory.resize(this->heldBytes() + Bytes.size()))
    return this->writeInParts(Bytes, Deadline, IsCancelled);
  try {
    this->Unsent.append(Bytes);
  } catch (const std::bad_alloc &) {
    // The first bytes of the message may have been sent.
    this->abort();
    return NetError::OutOfMemory;
  }
  this->sendQueued();
  return this->awaitSending(Deadline, IsCancelled, [this] {
    return this->unsent() < this->Limits.MaxUnsent;
  });
}

Result<void>
TcpConnection::writeMessage(std::string Head, std::string_view Body,
                            TimePoint Deadline,
                            const std::function<bool()> &IsCancelled) {
  if (Body.size() <= MaxCopiedBytes)
    return this->write(Head.append(Body), Deadline, IsCancelled);
  BOOST_OUTCOME_TRYV(this->write(Head, Deadline, IsCancelled));
  return this->write(Body, Deadline, IsCancelled);
}

Result<void>
TcpConnection::writeAsRead(std::string_view Bytes, Duration StallTimeout,
                           const std::function<bool()> &IsCancelled) {
  while (!Bytes.empty()) {
    std::string_view Part = Bytes.substr(0, MaxStalledBytes);
    BOOST_OUTCOME_TRYV(
        this->write(Part, this->Tasks.Now() + StallTimeout, IsCancelled));
    Bytes.remove_prefix(Part.size());
  }
  return success();
}

Result<void> TcpConnection::writeMessageAsRead(std::string Head,
                                               std::string_view Body,
                                               Duration StallTimeout) {
  if (Body.size() <= MaxCopiedBytes)
    return this->writeAsRead(Head.append(Body), StallTimeout);
  BOOST_OUTCOME_TRYV(this->writeAsRead(Head, StallTimeout));
  return this->writeAsRead(Body, StallTimeout);
}

Result<void>
TcpConnection::writeInParts(std::string_view Bytes, TimePoint Deadline,
                            const std::function<bool()> &IsCancelled) {
  // Without memory for a queue, the caller waits until its bytes are sent.
  while (!Bytes.empty()) {
    std::size_t Part = std::min(Bytes.size(), this->Memory.freeBytes());
    this->Unsent.append(Bytes.substr(0, Part));
    this->sendQueued();
    BOOST_OUTCOME_TRYV(this->flush(Deadline, IsCancelled));
    Bytes.remove_prefix(Part);
  }
  return success();
}

Result<void> TcpConnection::flush(TimePoint Deadline,
                                  const std::function<bool()> &IsCancelled) {
  return this->awaitSending(Deadline, IsCancelled,
                            [this] { return this->unsent() == 0; });
}

Result<void>
TcpConnection::awaitSending(TimePoint Deadline,
                            const std::function<bool()> &IsCancelled,
                            const std::function<bool()> &IsSent) {
  bool ConditionMet = this->Tasks.waitUntil(*this->Changed, Deadline, [&] {
    return this->WasLost || this->IsClosed || IsSent() || IsCancelled();
  });
  // A timeout is handled before the socket if both are due.
  if (!ConditionMet && !this->WasLost && !this->IsClosed && this->unsent() > 0)
    this->sendNow();
  if (this->WasLost || this->IsClosed)
    return NetError::Reset;
  if (IsSent())
    return success();
  return ConditionMet ? NetError::Cancelled : NetError::TimedOut;
}

void TcpConnection::sendQueued() {
  if (this->IsSending || this->unsent() == 0 || this->IsClosed)
    return;
  this->IsSending = true;
  this->Socket.async_wait(tcp::socket::wait_write,
                          [Self = this->shared_from_this()](
                              const boost::system::error_code &Failure) {
                            Self->onWritable(Failure);
                          });
}

void TcpConnection::onWritable(const boost::system::error_code &WaitFailure) {
  this->IsSending = false;
  if (this->IsClosed)
    return;
  if (WaitFailure)
    return this->end(true);
  this->sendNow();
}

void TcpConnection::sendNow() {
  boost::system::error_code Failure;
  std::string_view Rest = std::string_view(this->Unsent).substr(this->Sent);
  std::size_t Written = this->Socket.write_some(
      boost::asio::buffer(Rest.data(), Rest.size()), Failure);
  if (Failure && Failure != boost::asio::error::would_block)
    return this->onSendFailed();
  this->Sent += Written;
  this->countSent(Written);
  if (this->unsent() == 0) {
    this->Unsent.clear();
    this->Unsent.shrink_to_fit();
    this->Sent = 0;
    this->Memory.resize(this->heldBytes());
    if (this->IsClosing)
      this->finishClose();
  } else {
    this->sendQueued();
  }
  this->notify();
}

void TcpConnection::onSendFailed() {
  // Nothing is read once the connection counts as ended.
  std::uint64_t ReceivedBefore = 0;
  do {
    ReceivedBefore = this->TotalReceived;
    if (!this->IsLeftUnread)
      this->readArrived();
  } while (this->TotalReceived != ReceivedBefore);
  this->end(true);
}

void TcpConnection::countSent(std::size_t Bytes) {
  this->TotalSent += Bytes;
  this->Traffic->BytesSent += Bytes;
}

std::size_t TcpConnection::finish(TimePoint Deadline) {
  std::size_t Discarded = 0;
  if (!this->flush(Deadline)) {
    this->abort();
    return Discarded;
  }
  boost::system::error_code Ignored; // The connection is gone either way.
  this->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  this->Tasks.waitUntil(*this->Changed, Deadline, [&] {
    Discarded += this->unread().size();
    this->consume(this->unread().size());
    return this->HasEnded || this->IsClosed;
  });
  this->close();
  return Discarded;
}

std::size_t TcpConnection::finishUnread(TimePoint Deadline) {
  if (!this->flush(Deadline)) {
    this->abort();
    return 0;
  }
  boost::system::error_code Ignored; // The connection is gone either way.
  this->IsLeftUnread = true;
  this->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  this->Tasks.waitUntil(*this->Changed, Deadline, [this] {
    return this->HasEnded || this->IsClosed || this->available() > 0;
  });
  std::size_t Arrived = this->IsClosed ? 0 : this->available();
  if (Arrived > 0)
    this->abort();
  else
    this->close();
  return Arrived;
}

void TcpConnection::close() {
  if (this->IsClosed || this->IsClosing)
    return;
  this->IsClosing = true;
  this->Received.clear();
  this->Consumed = 0;
  this->Kept = 0;
  this->Memory.resize(this->heldBytes());
  if (this->unsent() == 0 || this->HasEnded)
    this->finishClose();
}

void TcpConnection::finishClose() {
  if (this->IsClosed)
    return;
  this->IsClosed = true;
  boost::system::error_code Ignored; // The connection is gone either way.
  this->Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  this->Socket.close(Ignored);
}

void TcpConnection::evict(std::string_view LastBytes) {
  if (!this->IsClosed && !LastBytes.empty() && this->unsent() == 0) {
    boost::system::error_code Ignored; // The connection is gone either way.
    this->countSent(this->Socket.write_some(
        boost::asio::buffer(LastBytes.data(), LastBytes.size()), Ignored));
    // Unread bytes would reset the connection, and the peer could lose these.
    this->readArrived();
  }
  // The end of the connection may be all that marks the end of a response.
  if (this->unsent() > 0)
    this->abort();
  else
    this->finishClose();
  this->end(true);
}

void TcpConnection::abort() {
  if (this->IsClosed)
    return;
  this->IsClosed = true;
  boost::system::error_code Ignored; // The connection is gone either way.
  if (this->Socket.is_open()) {
    this->Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    this->Socket.close(Ignored);
  }
}

} // namespace bergamothook
