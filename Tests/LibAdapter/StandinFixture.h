/// \file
/// Runs a test as a task of the runtime that also serves a stand-in.

#ifndef BERGAMOTHOOK_TESTS_LIBADAPTER_STANDINFIXTURE_H
#define BERGAMOTHOOK_TESTS_LIBADAPTER_STANDINFIXTURE_H

#include "LibHttp/HttpClient.h"
#include "LibStandinServer/StandinServer.h"

#include <doctest/doctest.h>
#include <functional>

namespace bergamothook {

/// The client, the runtime and the stand-in server that a test uses.
struct StandinTest {
  HttpClient &Client;
  Runtime Tasks;
  StandinServer &Server;

  TimePoint deadline() const {
    return this->Tasks.Now() + std::chrono::seconds(10);
  }

  /// Posts \p Body to \p Path. \returns the response's JSON.
  nlohmann::json post(const std::string &Path, const nlohmann::json &Body) {
    HttpCall Call = this->callOf("POST", Path);
    Call.Body = Body.dump();
    return this->send(std::move(Call));
  }

  nlohmann::json get(const std::string &Path) {
    return this->send(this->callOf("GET", Path));
  }

private:
  HttpCall callOf(const std::string &Method, const std::string &Path) {
    HttpCall Call;
    Call.Method = Method;
    Call.Address = "127.0.0.1";
    Call.Port = this->Server.port();
    Call.Path = Path;
    return Call;
  }

  nlohmann::json send(HttpCall Call) {
    auto Answer = this->Client.call(std::move(Call), this->deadline());
    REQUIRE(Answer);
    return nlohmann::json::parse(Answer.value().Body);
  }
};

/// Serves \p Role on \p Real and runs \p Test against it.
inline void serveWhile(
    RealRuntime &Real, StandinHandler Role,
    const std::function<void(StandinTest &)> &Test,
    const std::function<void()> &Stop = [] {}) {
  Real.post([&] {
    StandinServer Server({}, Real, std::move(Role));
    REQUIRE(Server.start());
    {
      HttpClient Client(Real.hooks());
      StandinTest Fixture{Client, Real.hooks(), Server};
      Test(Fixture);
    }
    Stop();
    Server.stop();
    CHECK(Server.waitForTasks(std::chrono::seconds(20)));
    Real.stop();
  });
  Real.run();
}

/// \returns a handler that calls \p Role.
template <typename T> StandinHandler handlerOf(T &Role) {
  return [&Role](const HttpRequest &Request, const HttpReply &Reply) {
    Role.serve(Request, Reply);
  };
}

} // namespace bergamothook

#endif
