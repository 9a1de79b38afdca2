#include "ClientCrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bergamothook {

using namespace std::chrono_literals;

namespace {
/// Small, so that what a client does not read stays with the sender.
constexpr int UnreadBufferBytes = 4096;
constexpr std::size_t BlockBytes = 64 * 1024;
/// How many times a client sends or reads before it is another's turn.
constexpr int CallsPerRound = 4;
} // namespace

ClientCrowd::ClientCrowd(const std::string &Ip, std::uint16_t Port,
                         ClientScript Script)
    : Ip(Ip), Port(Port), Script(std::move(Script)),
      Clients(this->Script.Clients) {
  while (!this->Script.Repeated.empty() && this->Block.size() < BlockBytes)
    this->Block += this->Script.Repeated;
}

ClientCrowd::~ClientCrowd() {
  for (Client &Each : this->Clients)
    if (Each.Socket >= 0)
      close(Each.Socket);
}

void ClientCrowd::open(Client &Each) const {
  Each.Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Each.Socket < 0)
    return;
  if (this->Script.Reading != ClientReading::All)
    setsockopt(Each.Socket, SOL_SOCKET, SO_RCVBUF, &UnreadBufferBytes,
               sizeof(UnreadBufferBytes));
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(this->Port);
  To.sin_addr.s_addr = inet_addr(this->Ip.c_str());
  // The result shows with the first write.
  (void)connect(Each.Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To));
}

std::string_view ClientCrowd::nextBytes(std::size_t Sent) const {
  std::string_view Bytes;
  if (Sent < this->Script.Prefix.size()) {
    Bytes = std::string_view(this->Script.Prefix).substr(Sent);
  } else {
    Sent -= this->Script.Prefix.size();
    std::size_t Total = this->Script.Repeated.size() * this->Script.Repetitions;
    if (Sent >= Total)
      return {};
    Bytes = std::string_view(this->Block).substr(Sent % this->Block.size());
    Bytes = Bytes.substr(0, Total - Sent);
  }
  return Bytes.substr(0, this->Script.BytesPerWrite);
}

void ClientCrowd::advance(Client &Each) const {
  for (int I = 0; I < CallsPerRound; ++I) {
    std::string_view Bytes = this->nextBytes(Each.Sent);
    if (!Bytes.empty()) {
      ssize_t Written =
          send(Each.Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Written > 0)
        Each.Sent += static_cast<std::size_t>(Written);
      else if (errno == EPIPE || errno == ECONNRESET)
        Each.Sent = SIZE_MAX / 2;
    }
    std::array<char, 16 * 1024> Read;
    if (this->Script.Reading != ClientReading::Nothing)
      (void)recv(
          Each.Socket, Read.data(),
          this->Script.Reading == ClientReading::OneByte ? 1 : Read.size(), 0);
    if (Bytes.empty() || this->Script.Pause > Duration{})
      return;
  }
}

void ClientCrowd::run(Duration Time, const std::function<void()> &EachRound) {
  for (Client &Each : this->Clients)
    this->open(Each);
  auto End = std::chrono::steady_clock::now() + Time;
  auto Measured = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < End) {
    for (Client &Each : this->Clients)
      this->advance(Each);
    if (auto Now = std::chrono::steady_clock::now(); Now - Measured > 20ms) {
      Measured = Now;
      EachRound();
    }
    std::this_thread::sleep_for(std::max<Duration>(this->Script.Pause, 1ms));
  }
  EachRound();
}

} // namespace bergamothook
