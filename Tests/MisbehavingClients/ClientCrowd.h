/// \file
/// A group of clients that do not behave.

#ifndef BERGAMOTHOOK_TESTS_MISBEHAVINGCLIENTS_CLIENTCROWD_H
#define BERGAMOTHOOK_TESTS_MISBEHAVINGCLIENTS_CLIENTCROWD_H

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bergamothook {

enum class ClientReading { All, OneByte, Nothing };

/// What each client of a crowd does. All send \c Prefix, then \c Repeated
/// \c Repetitions times, and keep the connection open.
struct ClientScript {
  std::size_t Clients = 1;
  std::string Prefix = {};
  std::string Repeated = {};
  std::size_t Repetitions = 0;
  /// The most bytes of each write, and the pause between two.
  std::size_t BytesPerWrite = 64 * 1024;
  Duration Pause{};
  ClientReading Reading = ClientReading::All;
};

/// Connections that are closed by the destructor.
class ClientCrowd {
public:
  ClientCrowd(const std::string &Ip, std::uint16_t Port, ClientScript Script);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;

  /// Follows the script for \p Time; calls \p EachRound again and again.
  void run(Duration Time, const std::function<void()> &EachRound);

private:
  struct Client {
    int Socket = -1;
    std::size_t Sent = 0;
  };

  void open(Client &Each) const;
  void advance(Client &Each) const;
  std::string_view nextBytes(std::size_t Sent) const;

  std::string Ip;
  std::uint16_t Port;
  ClientScript Script;
  /// Several repetitions, so that a write sends many.
  std::string Block;
  std::vector<Client> Clients;
};

} // namespace bergamothook

#endif
