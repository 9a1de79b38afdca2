#include "LibStandinServer/StandinServer.h"

#include "LibAdapter/ErrorMapping.h"

namespace bergamothook {

StandinServer::StandinServer(HttpServerLimits Limits, RealRuntime &Real,
                             StandinHandler OnRequest)
    : Limits(std::move(Limits)), Real(Real), OnRequest(std::move(OnRequest)) {}

Result<void> StandinServer::start() {
  auto Post = [this](HttpRequest Request, HttpReply Reply) {
    auto Serve = [this, Request = std::move(Request), Reply] {
      ++this->ActiveTasks;
      this->OnRequest(Request, Reply);
      --this->ActiveTasks;
      this->TaskEnded.notify();
    };
    if (!this->Real.post(std::move(Serve)))
      sendNotRun(Reply, TargetError::Refused);
  };
  this->Server = std::make_unique<HttpServer>(this->Limits, Post);
  BOOST_OUTCOME_TRY(this->Server->start());
  this->Limits.Port = this->Server->port();
  return success();
}

void StandinServer::stop() { this->Server.reset(); }

bool StandinServer::waitForTasks(Duration Timeout) {
  Runtime Tasks = this->Real.hooks();
  return Tasks.waitUntil(this->TaskEnded, Tasks.Now() + Timeout,
                         [this] { return this->ActiveTasks == 0; });
}

void StandinServer::restartAfter(Duration Downtime) {
  this->stop();
  Runtime Tasks = this->Real.hooks();
  Tasks.sleepUntil(Tasks.Now() + Downtime);
  constexpr Duration RetryInterval = std::chrono::milliseconds(50);
  while (!this->start())
    Tasks.sleepUntil(Tasks.Now() + RetryInterval);
}

} // namespace bergamothook
