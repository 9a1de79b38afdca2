/// \file
/// A server task and a client task on one loopback connection, for tests.

#ifndef BERGAMOTHOOK_TESTS_LIBNET_CONNECTIONPAIR_H
#define BERGAMOTHOOK_TESTS_LIBNET_CONNECTIONPAIR_H

#include "LibNet/HttpReader.h"
#include "LibNet/TcpListener.h"

#include <doctest/doctest.h>

namespace bergamothook {

/// Far longer than any step takes; a test that reaches it fails.
constexpr Duration TestTimeout = std::chrono::seconds(20);

/// A server task and a client task on one loopback connection.
struct ConnectionPair {
  using Use = std::function<void(TcpConnection::Handle, Event &)>;

  /// Runs both tasks to completion.
  void run(const Use &Server, const Use &Client) {
    int Running = 2;
    auto End = [&] {
      if (--Running == 0)
        this->Loop.stop();
    };
    TcpListener Port(this->Loop, {"127.0.0.1:0", 16, 16, {}},
                     [&](const TcpConnection::Handle &Connection) {
                       Event Changed;
                       ScopedEventAttachment Attached(Connection, Changed);
                       Server(Connection, Changed);
                       End();
                     });
    REQUIRE(Port.start());
    this->Loop.hooks().Spawn([&] {
      auto Connection = TcpConnection::connect(
          this->Loop, "127.0.0.1:" + std::to_string(Port.port()), this->Limits,
          this->deadline());
      REQUIRE(Connection);
      {
        Event Changed;
        ScopedEventAttachment Attached(Connection.value(), Changed);
        Client(Connection.value(), Changed);
      }
      Connection.value()->close();
      End();
    });
    this->Loop.run();
    Port.stop();
  }

  /// Lets a server read \p Bytes as one request.
  Result<HttpRequestMessage> readRequest(const std::string &Bytes,
                                         HttpReadLimits Limits = {}) {
    std::optional<Result<HttpRequestMessage>> Out;
    this->run(
        [&](const TcpConnection::Handle &Connection, Event &Changed) {
          HttpRequestReader Reader(Connection, this->Loop.hooks(), Changed);
          Out = Reader.read(Limits, this->deadline(), [] {});
        },
        [&](const TcpConnection::Handle &Connection, Event &Changed) {
          REQUIRE(Connection->write(Bytes, this->deadline()));
          // Waits until the server closes the connection.
          this->Loop.hooks().waitUntil(Changed, this->deadline(),
                                       [&] { return Connection->hasEnded(); });
        });
    return *Out;
  }

  /// Lets a server read \p Bytes as a request that ends too early.
  Result<HttpRequestMessage> readPartialRequest(const std::string &Bytes,
                                                HttpReadLimits Limits) {
    std::optional<Result<HttpRequestMessage>> Out;
    this->run(
        [&](const TcpConnection::Handle &Connection, Event &Changed) {
          HttpRequestReader Reader(Connection, this->Loop.hooks(), Changed);
          Out = Reader.read(Limits, this->deadline(), [] {});
        },
        [&](const TcpConnection::Handle &Connection, Event &) {
          (void)Connection->write(Bytes, this->deadline());
        });
    return *Out;
  }

  /// The outcome of reading one response.
  struct Answer {
    std::error_code Failure;
    HttpResponseHead Head;
    std::string Body;
    bool CanReuse = false;
  };

  Answer readAnswer(const std::string &Bytes, bool ResetsAfterwards = false) {
    Answer Out;
    this->run(
        [&](const TcpConnection::Handle &Connection, Event &Changed) {
          (void)Connection->write(Bytes, this->deadline());
          if (ResetsAfterwards) {
            // Resets only once the client has read the head and responded, so
            // that it received the bytes before the reset.
            this->Loop.hooks().waitUntil(Changed, this->deadline(), [&] {
              return !Connection->unread().empty();
            });
            Connection->abort();
          }
        },
        [&](const TcpConnection::Handle &Connection, Event &Changed) {
          HttpResponseReader Reader(Connection, this->Loop.hooks(), Changed,
                                    false);
          auto Never = [] { return false; };
          auto Head = Reader.readHead(this->deadline(), Never);
          if (ResetsAfterwards)
            REQUIRE(Connection->write("x", this->deadline()));
          if (!Head) {
            Out.Failure = Head.error();
            return;
          }
          Out.Head = Head.value();
          auto Body = Reader.readAll(1 << 20, this->deadline(), Never);
          if (Body)
            Out.Body = Body.value();
          else
            Out.Failure = Body.error();
          Out.CanReuse = Reader.canReuse();
        });
    return Out;
  }

  TimePoint deadline() { return this->Loop.hooks().Now() + TestTimeout; }

  NetRuntime Loop;
  /// Of the client.
  TcpLimits Limits;
};

} // namespace bergamothook

#endif
