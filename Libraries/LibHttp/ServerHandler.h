/// \file
/// Forwards Pistache's socket events to the server.

#ifndef BERGAMOTHOOK_LIBHTTP_SERVERHANDLER_H
#define BERGAMOTHOOK_LIBHTTP_SERVERHANDLER_H

#include "LibHttp/ServerCore.h"

#include <pistache/tcp.h>

namespace bergamothook::detail {

/// Pistache clones the handler for each of its workers.
class ServerHandler final : public Pistache::Tcp::Handler {
public:
  explicit ServerHandler(ServerCore *Core) : Core(Core) {}

  std::shared_ptr<Pistache::Tcp::Handler> clone() const override {
    return std::make_shared<ServerHandler>(this->Core);
  }

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    this->Core->onConnection(Peer);
  }

  void onInput(const char *Bytes, std::size_t Length,
               const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    this->Core->onInput(Bytes, Length, Peer);
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    this->Core->onDisconnection(Peer);
  }

private:
  ServerCore *Core;
};

} // namespace bergamothook::detail

#endif
