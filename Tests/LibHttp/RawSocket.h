/// \file
/// A bare TCP socket for tests that send what no HTTP client would.

#ifndef BERGAMOTHOOK_TESTS_LIBHTTP_RAWSOCKET_H
#define BERGAMOTHOOK_TESTS_LIBHTTP_RAWSOCKET_H

#include <cstdint>
#include <string>

namespace bergamothook {

class RawSocket {
public:
  /// Connects to a port of 127.0.0.1.
  explicit RawSocket(std::uint16_t Port);
  /// Takes over the descriptor \p Fd.
  static RawSocket adopt(int Fd);
  ~RawSocket();
  RawSocket(RawSocket &&Other) noexcept : Fd(Other.Fd) { Other.Fd = -1; }
  RawSocket &operator=(RawSocket &&) = delete;

  bool isConnected() const { return this->Fd >= 0; }

  /// \returns false when the other side is gone.
  bool send(const std::string &Bytes);

  /// Reads until \p Marker came, the other side closed, or nothing came for
  /// ten seconds. \returns everything read.
  std::string readUntil(const std::string &Marker);

  /// Reads until the other side closes.
  std::string readToEnd();

private:
  RawSocket() = default;
  int Fd = -1;
};

/// A listening socket that a test answers by hand.
class RawListener {
public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  std::uint16_t port() const;
  RawSocket accept();

private:
  int Fd;
};

} // namespace bergamothook

#endif
