/// \file
/// The event loop that runs the transfers of an HTTP client.

#ifndef BERGAMOTHOOK_LIBHTTP_CURLLOOP_H
#define BERGAMOTHOOK_LIBHTTP_CURLLOOP_H

#include "LibHttp/Transfer.h"

#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace bergamothook::detail {

/// Drives libcurl's multi interface with epoll on its own thread. start(),
/// resume() and close() are thread-safe.
class CurlLoop {
public:
  CurlLoop();
  ~CurlLoop();
  CurlLoop(const CurlLoop &) = delete;
  CurlLoop &operator=(const CurlLoop &) = delete;

  void start(std::shared_ptr<Transfer> Call);
  void resume(std::shared_ptr<Transfer> Call);
  void close(std::shared_ptr<Transfer> Call);

private:
  static int watchSocket(CURL *Easy, curl_socket_t Socket, int What, void *Self,
                         void *SocketData);
  static int setTimer(CURLM *, long Milliseconds, void *Self);

  void post(std::function<void()> Command);
  void run();
  void runCommands();
  void processEvents();
  void finishCompleted();
  void remove(CURL *Easy);
  int millisecondsToTimer(TimePoint Now) const;

  CURLM *Multi;
  int EpollFd;
  int WakeUpFd;

  std::mutex Lock;
  std::vector<std::function<void()>> Commands;
  bool IsStopping = false;

  // Accessed only by the loop's thread.
  std::map<CURL *, std::shared_ptr<Transfer>> Transfers;
  std::optional<TimePoint> Timer;

  std::thread Thread;
};

} // namespace bergamothook::detail

#endif
