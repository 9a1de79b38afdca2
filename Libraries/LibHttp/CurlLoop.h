/// \file
/// The thread that runs the transfers of one HTTP client.

#ifndef BERGAMOTHOOK_LIBHTTP_CURLLOOP_H
#define BERGAMOTHOOK_LIBHTTP_CURLLOOP_H

#include "LibHttp/Transfer.h"

#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace bergamothook::detail {

/// Drives libcurl's multi interface by epoll. Any thread may start, resume and
/// close transfers.
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
  static int watchSocket(CURL *, curl_socket_t Socket, int What, void *Self,
                         void *IsKnown);
  static int setTimer(CURLM *, long Milliseconds, void *Self);

  void post(std::function<void()> Command);
  void run();
  void runCommands();
  void waitAndServe();
  void collectFinished();
  void remove(CURL *Easy);
  int millisecondsToTimer(TimePoint Now) const;

  CURLM *Multi;
  int Epoll;
  int WakeUp;

  std::mutex Lock;
  std::vector<std::function<void()>> Commands;
  bool IsStopping = false;

  // Used on the loop's thread only.
  std::map<CURL *, std::shared_ptr<Transfer>> Transfers;
  std::optional<TimePoint> Timer;

  std::thread Thread;
};

} // namespace bergamothook::detail

#endif
