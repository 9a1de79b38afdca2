#include "LibHttp/CurlLoop.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace bergamothook::detail {

namespace {

constexpr long MaxCachedConnections = 4096;
constexpr int MaxEventsPerWait = 256;
constexpr int MaxWaitMs = 1000;

void initializeCurlOnce() {
  static const CURLcode Outcome = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(Outcome);
}

int curlActionOf(std::uint32_t Events) {
  int Action = 0;
  if ((Events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
    Action |= CURL_CSELECT_IN;
  if ((Events & EPOLLOUT) != 0)
    Action |= CURL_CSELECT_OUT;
  if ((Events & EPOLLERR) != 0)
    Action |= CURL_CSELECT_ERR;
  return Action;
}

} // namespace

CurlLoop::CurlLoop()
    : EpollFd(epoll_create1(EPOLL_CLOEXEC)),
      WakeUpFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  initializeCurlOnce();
  this->Multi = curl_multi_init();
  curl_multi_setopt(this->Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(this->Multi, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
  curl_multi_setopt(this->Multi, CURLMOPT_SOCKETFUNCTION, watchSocket);
  curl_multi_setopt(this->Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->Multi, CURLMOPT_TIMERFUNCTION, setTimer);
  curl_multi_setopt(this->Multi, CURLMOPT_TIMERDATA, this);
  epoll_event Registration{};
  Registration.events = EPOLLIN;
  Registration.data.fd = this->WakeUpFd;
  epoll_ctl(this->EpollFd, EPOLL_CTL_ADD, this->WakeUpFd, &Registration);
  this->Thread = std::thread([this] { this->run(); });
}

CurlLoop::~CurlLoop() {
  this->post([this] { this->IsStopping = true; });
  this->Thread.join();
  curl_multi_cleanup(this->Multi);
  ::close(this->WakeUpFd);
  ::close(this->EpollFd);
}

void CurlLoop::start(std::shared_ptr<Transfer> Call) {
  this->post([this, Call] {
    this->Transfers[Call->easy()] = Call;
    curl_multi_add_handle(this->Multi, Call->easy());
  });
}

void CurlLoop::resume(std::shared_ptr<Transfer> Call) {
  this->post([this, Call] {
    if (this->Transfers.count(Call->easy()) > 0)
      curl_easy_pause(Call->easy(), CURLPAUSE_CONT);
  });
}

void CurlLoop::close(std::shared_ptr<Transfer> Call) {
  this->post([this, Call] { this->remove(Call->easy()); });
}

void CurlLoop::post(std::function<void()> Command) {
  {
    std::lock_guard Guard(this->Lock);
    this->Commands.push_back(std::move(Command));
  }
  eventfd_write(this->WakeUpFd, 1);
}

void CurlLoop::run() {
  while (!this->IsStopping) {
    this->processEvents();
    this->runCommands();
    this->finishCompleted();
  }
  while (!this->Transfers.empty()) {
    auto Call = this->Transfers.begin()->second;
    this->remove(Call->easy());
    Call->finish(CURLE_ABORTED_BY_CALLBACK);
  }
}

void CurlLoop::runCommands() {
  std::vector<std::function<void()>> Pending;
  {
    std::lock_guard Guard(this->Lock);
    Pending.swap(this->Commands);
  }
  for (const auto &Command : Pending)
    Command();
}

void CurlLoop::processEvents() {
  std::array<epoll_event, MaxEventsPerWait> Events;
  int Wait = this->millisecondsToTimer(readMonotonicClock());
  int Count = epoll_wait(this->EpollFd, Events.data(), MaxEventsPerWait, Wait);
  int Running = 0;
  for (int Index = 0; Index < Count; ++Index) {
    int Socket = Events[Index].data.fd;
    if (Socket == this->WakeUpFd) {
      eventfd_t Ignored = 0;
      eventfd_read(this->WakeUpFd, &Ignored);
      continue;
    }
    curl_multi_socket_action(this->Multi, Socket,
                             curlActionOf(Events[Index].events), &Running);
  }
  if (this->Timer && *this->Timer <= readMonotonicClock()) {
    this->Timer.reset();
    curl_multi_socket_action(this->Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
  }
}

void CurlLoop::finishCompleted() {
  int Remaining = 0;
  while (CURLMsg *Message = curl_multi_info_read(this->Multi, &Remaining)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURLcode Outcome = Message->data.result;
    CURL *Easy = Message->easy_handle;
    auto Found = this->Transfers.find(Easy);
    if (Found == this->Transfers.end())
      continue;
    auto Call = Found->second;
    this->remove(Easy);
    Call->finish(Outcome);
  }
}

void CurlLoop::remove(CURL *Easy) {
  auto Found = this->Transfers.find(Easy);
  if (Found == this->Transfers.end())
    return;
  curl_multi_remove_handle(this->Multi, Easy);
  this->Transfers.erase(Found);
}

int CurlLoop::millisecondsToTimer(TimePoint Now) const {
  if (!this->Timer)
    return MaxWaitMs;
  auto Remaining =
      std::chrono::ceil<std::chrono::milliseconds>(*this->Timer - Now);
  return static_cast<int>(
      std::clamp<std::int64_t>(Remaining.count(), 0, MaxWaitMs));
}

int CurlLoop::watchSocket(CURL *Easy, curl_socket_t Socket, int What,
                          void *Self, void *SocketData) {
  auto *Loop = static_cast<CurlLoop *>(Self);
  if (What == CURL_POLL_REMOVE) {
    epoll_ctl(Loop->EpollFd, EPOLL_CTL_DEL, Socket, nullptr);
    // libcurl closes the socket, if at all, after this call.
    auto Found = Loop->Transfers.find(Easy);
    if (Found != Loop->Transfers.end())
      Found->second->onSocketReleased(Socket);
    return 0;
  }
  epoll_event Registration{};
  Registration.data.fd = Socket;
  if ((What & CURL_POLL_IN) != 0)
    Registration.events |= EPOLLIN;
  if ((What & CURL_POLL_OUT) != 0)
    Registration.events |= EPOLLOUT;
  int Operation = SocketData == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  if (epoll_ctl(Loop->EpollFd, Operation, Socket, &Registration) != 0)
    epoll_ctl(Loop->EpollFd, EPOLL_CTL_ADD, Socket, &Registration);
  curl_multi_assign(Loop->Multi, Socket, Loop);
  return 0;
}

int CurlLoop::setTimer(CURLM *, long Milliseconds, void *Self) {
  auto *Loop = static_cast<CurlLoop *>(Self);
  if (Milliseconds < 0)
    Loop->Timer.reset();
  else
    Loop->Timer =
        readMonotonicClock() + std::chrono::milliseconds(Milliseconds);
  return 0;
}

} // namespace bergamothook::detail
