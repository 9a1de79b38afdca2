#include "RawServer.h"

namespace bergamothook {

namespace {

constexpr const char *HeadEnd = "\r\n\r\n";
constexpr std::size_t HeadEndBytes = 4;
/// How long a half-closed connection is kept if its client does not end it.
constexpr std::chrono::milliseconds HalfCloseLimit{2000};

} // namespace

RawServer::RawServer(Respond Handler) : Handler(std::move(Handler)) {
  this->Listener.setReceiveBuffer(ReceiveBufferBytes);
  this->Acceptor = std::thread([this] {
    for (;;) {
      RawSocket Connection = this->Listener.accept();
      if (!Connection.isConnected())
        return;
      this->Connections.emplace_back(
          [this, Accepted = std::move(Connection)]() mutable {
            this->serve(std::move(Accepted));
          });
    }
  });
}

RawServer::~RawServer() {
  this->Listener.stop();
  this->Acceptor.join();
  for (std::thread &Each : this->Connections)
    Each.join();
}

void RawServer::serve(RawSocket Connection) const {
  for (;;) {
    std::string Received = Connection.readUntil(HeadEnd);
    std::size_t HeadBytes = Received.find(HeadEnd);
    if (HeadBytes == std::string::npos)
      return;
    HeadBytes += HeadEndBytes;
    RawResponse Response = this->Handler(Received.substr(0, HeadBytes));
    std::size_t BodyBytes = Received.size() - HeadBytes;
    if (BodyBytes < Response.ReadBytes)
      Connection.readExactly(Response.ReadBytes - BodyBytes);
    Connection.send(Response.Bytes);
    switch (Response.End) {
    case ServerEnd::None:
      continue;
    case ServerEnd::Close:
      return;
    case ServerEnd::Reset:
      Connection.reset();
      return;
    case ServerEnd::HalfClose:
      Connection.endSending();
      Connection.awaitEnd(HalfCloseLimit);
      return;
    case ServerEnd::HalfCloseThenReset:
      Connection.endSending();
      Connection.reset();
      return;
    }
  }
}

std::string rawFieldOf(const std::string &Head, const std::string &Name) {
  std::size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 4;
  return Head.substr(At, Head.find("\r\n", At) - At);
}

} // namespace bergamothook
