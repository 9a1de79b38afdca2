#include "RawSocket.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace bergamothook {

namespace {

constexpr int ReadTimeoutSeconds = 10;

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

void setReadTimeout(int Fd) {
  timeval Timeout{ReadTimeoutSeconds, 0};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
}

} // namespace

RawSocket::RawSocket(std::uint16_t Port)
    : Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in Address = loopback(Port);
  setReadTimeout(this->Fd);
  if (::connect(this->Fd, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0) {
    ::close(this->Fd);
    this->Fd = -1;
  }
}

RawSocket RawSocket::adopt(int Fd) {
  RawSocket Socket;
  Socket.Fd = Fd;
  setReadTimeout(Fd);
  return Socket;
}

RawSocket::~RawSocket() { this->close(); }

void RawSocket::close() {
  if (this->Fd >= 0)
    ::close(this->Fd);
  this->Fd = -1;
}

bool RawSocket::send(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count = ::send(this->Fd, Bytes.data() + Sent, Bytes.size() - Sent,
                           MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

std::string RawSocket::readUntil(const std::string &Marker) {
  std::string Received;
  std::array<char, 4096> Buffer;
  while (Marker.empty() || Received.find(Marker) == std::string::npos) {
    ssize_t Count = ::recv(this->Fd, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      break;
    Received.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return Received;
}

std::string RawSocket::readToEnd() { return this->readUntil(""); }

std::string RawSocket::readExactly(std::size_t Bytes) {
  std::string Received(Bytes, '\0');
  ssize_t Count = 0;
  if (Bytes > 0)
    Count = ::recv(this->Fd, Received.data(), Bytes, MSG_WAITALL);
  Received.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
  return Received;
}

void RawSocket::endSending() { ::shutdown(this->Fd, SHUT_WR); }

void RawSocket::reset() {
  linger Immediate{1, 0};
  setsockopt(this->Fd, SOL_SOCKET, SO_LINGER, &Immediate, sizeof(Immediate));
  this->close();
}

void RawSocket::awaitEnd(std::chrono::milliseconds Limit) {
  pollfd Watched{this->Fd, POLLRDHUP, 0};
  ::poll(&Watched, 1, static_cast<int>(Limit.count()));
}

RawListener::RawListener()
    : Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in Address = loopback(0);
  static_cast<void>(::bind(this->Fd, reinterpret_cast<sockaddr *>(&Address),
                           sizeof(Address)));
  static_cast<void>(::listen(this->Fd, 16));
}

RawListener::~RawListener() { ::close(this->Fd); }

std::uint16_t RawListener::port() const {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  ::getsockname(this->Fd, reinterpret_cast<sockaddr *>(&Address), &Length);
  return ntohs(Address.sin_port);
}

RawSocket RawListener::accept() {
  return RawSocket::adopt(::accept(this->Fd, nullptr, nullptr));
}

void RawListener::stop() { ::shutdown(this->Fd, SHUT_RDWR); }

void RawListener::setReceiveBuffer(int Bytes) {
  setsockopt(this->Fd, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
}

} // namespace bergamothook
