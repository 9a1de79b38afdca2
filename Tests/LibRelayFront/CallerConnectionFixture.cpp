#include "CallerConnectionFixture.h"

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace bergamothook {

namespace {

/// Far longer than any step takes; a test that reaches it fails.
constexpr Duration StepTimeout = std::chrono::seconds(20);
constexpr Duration PollInterval = std::chrono::milliseconds(1);

} // namespace

ClientConnection::ClientConnection(RefusingHost &Host, int ReceiveBufferBytes)
    : Host(Host), Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
  if (ReceiveBufferBytes > 0)
    ::setsockopt(this->Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                 sizeof(ReceiveBufferBytes));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Host.Server.port());
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(::connect(this->Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
}

ClientConnection::~ClientConnection() { ::close(this->Socket); }

void ClientConnection::send(std::string_view Bytes) {
  if (::send(this->Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) < 0)
    this->WasReset = true;
}

void ClientConnection::sendRequest(const std::string &Path) {
  this->send("GET " + Path + " HTTP/1.1\r\nHost: a\r\n\r\n");
}

unsigned ClientConnection::readStatus() {
  TimePoint End = this->Host.Tasks.Now() + StepTimeout;
  while (this->Host.Tasks.Now() < End) {
    this->receive();
    if (auto Status = this->takeStatus())
      return *Status;
    if (this->HasEnded)
      return 0;
    this->Host.Tasks.sleepUntil(this->Host.Tasks.Now() + PollInterval);
  }
  return 0;
}

std::size_t ClientConnection::readSlowly(std::size_t MaxBytes, Duration Pause) {
  std::vector<char> Bytes(MaxBytes);
  std::size_t Read = 0;
  TimePoint End = this->Host.Tasks.Now() + StepTimeout;
  while (this->Host.Tasks.Now() < End) {
    ssize_t Count =
        ::recv(this->Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
    if (Count == 0 || (Count < 0 && errno != EAGAIN))
      break;
    Read += static_cast<std::size_t>(std::max<ssize_t>(Count, 0));
    this->Host.Tasks.sleepUntil(this->Host.Tasks.Now() + Pause);
  }
  return Read;
}

std::size_t ClientConnection::readToEnd() {
  std::vector<char> Bytes(64 * 1024);
  std::size_t Read = 0;
  for (ssize_t Count = 0;
       (Count = ::recv(this->Socket, Bytes.data(), Bytes.size(), 0)) > 0;)
    Read += static_cast<std::size_t>(Count);
  return Read;
}

bool ClientConnection::hasResponse() {
  this->receive();
  return !this->Received.empty();
}

unsigned ClientConnection::request(const std::string &Path) {
  this->sendRequest(Path);
  return this->readStatus();
}

bool ClientConnection::hasEnded() {
  this->receive();
  return this->HasEnded;
}

void ClientConnection::awaitEnd() {
  TimePoint End = this->Host.Tasks.Now() + StepTimeout;
  while (!this->hasEnded() && this->Host.Tasks.Now() < End)
    this->Host.Tasks.sleepUntil(this->Host.Tasks.Now() + PollInterval);
  REQUIRE(this->HasEnded);
}

void ClientConnection::receive() {
  char Bytes[4096];
  for (;;) {
    ssize_t Count = ::recv(this->Socket, Bytes, sizeof(Bytes), MSG_DONTWAIT);
    if (Count > 0) {
      this->Received.append(Bytes, static_cast<std::size_t>(Count));
      continue;
    }
    if (Count < 0 && errno == EAGAIN)
      return;
    this->HasEnded = true;
    this->WasReset = this->WasReset || Count < 0;
    return;
  }
}

std::optional<unsigned> ClientConnection::takeStatus() {
  constexpr std::string_view LengthName = "Content-Length: ";
  constexpr std::string_view StatusLineBegin = "HTTP/1.1 ";
  std::size_t HeadEnd = this->Received.find("\r\n\r\n");
  std::size_t LengthAt = this->Received.find(LengthName);
  if (HeadEnd == std::string::npos || LengthAt > HeadEnd)
    return std::nullopt;
  std::size_t Size =
      HeadEnd + 4 +
      std::stoul(this->Received.substr(LengthAt + LengthName.size()));
  if (this->Received.size() < Size)
    return std::nullopt;
  auto Status = static_cast<unsigned>(
      std::stoul(this->Received.substr(StatusLineBegin.size(), 3)));
  this->LastHead = this->Received.substr(0, HeadEnd);
  this->Received.erase(0, Size);
  return Status;
}

} // namespace bergamothook
