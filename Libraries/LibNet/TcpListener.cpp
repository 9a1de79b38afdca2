#include "LibNet/TcpListener.h"

#include <boost/asio/ip/address.hpp>
#include <poll.h>
#include <utility>

namespace bergamothook {

using boost::asio::ip::tcp;

namespace {

/// Bounds the accepts per wakeup so that a burst does not starve open
/// connections.
constexpr int MaxAcceptsPerWakeup = 32;
/// Pause until connections that could not be closed are looked at again.
constexpr Duration RetryInterval = std::chrono::milliseconds(250);

Result<tcp::endpoint> parseListenAddress(const std::string &Address) {
  // Port 0 is valid for listening only.
  if (Address.size() > 2 && Address.ends_with(":0")) {
    boost::system::error_code Failure;
    auto Host = boost::asio::ip::make_address(
        Address.substr(0, Address.size() - 2), Failure);
    if (Failure)
      return NetError::Malformed;
    return tcp::endpoint(Host, 0);
  }
  return parseEndpoint(Address);
}

} // namespace

TcpListener::TcpListener(NetRuntime &Loop, TcpListenerSettings Settings,
                         Serve Handler)
    : Loop(Loop), Tasks(Loop.hooks()), Settings(std::move(Settings)),
      Handler(std::move(Handler)), Acceptor(Loop.context()),
      RetryTimer(Loop.context()) {}

Result<void> TcpListener::start() {
  BOOST_OUTCOME_TRY(Endpoint, parseListenAddress(this->Settings.Address));
  try {
    this->Acceptor.open(Endpoint.protocol());
    this->Acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Connections inherit it.
    this->Acceptor.set_option(boost::asio::socket_base::receive_buffer_size(
        this->Settings.Limits.ReceiveBufferBytes));
    if (this->Settings.Limits.SendBufferBytes > 0)
      this->Acceptor.set_option(boost::asio::socket_base::send_buffer_size(
          this->Settings.Limits.SendBufferBytes));
    this->Acceptor.bind(Endpoint);
    this->Acceptor.listen(this->Settings.Backlog);
    this->Acceptor.non_blocking(true);
    this->Port = this->Acceptor.local_endpoint().port();
  } catch (const boost::system::system_error &Failure) {
    return std::error_code(Failure.code().value(), std::generic_category());
  }
  this->acceptNext();
  return success();
}

void TcpListener::stop() {
  boost::system::error_code Ignored; // Closing an acceptor can't be retried.
  this->Acceptor.close(Ignored);
  this->RetryTimer.cancel();
}

void TcpListener::acceptNext() {
  if (!this->Acceptor.is_open())
    return;
  this->Acceptor.async_wait(tcp::acceptor::wait_read,
                            [this](const boost::system::error_code &Failure) {
                              this->onAcceptable(Failure);
                            });
}

void TcpListener::onAcceptable(const boost::system::error_code &WaitFailure) {
  if (WaitFailure || !this->Acceptor.is_open())
    return;
  for (int I = 0; I < MaxAcceptsPerWakeup; ++I) {
    if (this->OpenConnections >= this->Settings.MaxConnections) {
      // Only the wakeup proves that a connection waits.
      if (I > 0)
        break;
      this->IsPaused = true;
      if (this->Settings.MakeRoom && !this->Settings.MakeRoom())
        this->retryLater();
      return;
    }
    boost::system::error_code Failure;
    tcp::socket Socket(this->Loop.context());
    this->Acceptor.accept(Socket, Failure);
    if (Failure)
      break;
    this->serve(std::move(Socket));
  }
  this->acceptNext();
}

void TcpListener::serve(tcp::socket Socket) {
  ++this->OpenConnections;
  auto Connection = TcpConnection::adopt(this->Loop, std::move(Socket),
                                         this->Settings.Limits);
  this->Tasks.Spawn([this, Connection] {
    this->Handler(Connection);
    Connection->close();
    --this->OpenConnections;
    this->resume();
  });
}

void TcpListener::retryLater() {
  this->RetryTimer.expires_after(RetryInterval);
  this->RetryTimer.async_wait([this](const boost::system::error_code &Failure) {
    if (!Failure)
      this->resume();
  });
}

bool TcpListener::hasWaiting() {
  if (!this->Acceptor.is_open())
    return false;
  pollfd Queue{this->Acceptor.native_handle(), POLLIN, 0};
  return ::poll(&Queue, 1, 0) > 0;
}

void TcpListener::resume() {
  if (std::exchange(this->IsPaused, false))
    this->acceptNext();
}

} // namespace bergamothook
