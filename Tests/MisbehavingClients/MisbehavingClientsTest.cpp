/// \file
/// Guards against clients that make a relay exceed the memory or the
/// descriptors of its machine, or that keep others from being served. Each case
/// starts a relay of its own with the limits of RelayProcess.h. The clients'
/// connections stay open while an ordinary request is sent.

#include "ClientCrowd.h"
#include "RelayProcess.h"
#include "platform/WireNames.h"

#include <arpa/inet.h>
#include <cstdio>
#include <doctest/doctest.h>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr Duration CrowdTime = 700ms;
/// Far longer than an ordinary request may have to wait.
constexpr Duration RequestLimit = 40s;

constexpr std::size_t LegalBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t StatusBodyBytes = 64 * 1024;

/// Without an id, a relay refuses requests before it sends them on.
const std::string RouteHead =
    std::string(" HTTP/1.1\r\nHost: ") + RelayProcess::RouteHost + "\r\n" +
    std::string(platform::wire::AttemptId) + ": call-1\r\n";

// The kinds of addresses that clients use.
struct Route {
  static constexpr const char *Name = "route";
  static constexpr std::uint16_t Port = RelayProcess::FrontPort;
  static constexpr const char *Path = "/plain/x";
  static constexpr std::size_t BodyBytes = LegalBodyBytes;
};
struct NoRoute : Route {
  static constexpr const char *Name = "path without route";
  static constexpr const char *Path = "/nowhere";
};
struct Readiness {
  static constexpr const char *Name = "readiness";
  static constexpr std::uint16_t Port = RelayProcess::ReadyPort;
  static constexpr const char *Path = "/-/readyz";
  static constexpr std::size_t BodyBytes = StatusBodyBytes;
};
struct MetricsPage {
  static constexpr const char *Name = "metrics";
  static constexpr std::uint16_t Port = RelayProcess::MetricsPort;
  static constexpr const char *Path = "/metrics";
  static constexpr std::size_t BodyBytes = StatusBodyBytes;
};

bool isAnswered(const RelayProcess &Relay, std::uint16_t Port,
                const std::string &Path, bool MustSucceed) {
  auto End = std::chrono::steady_clock::now() + RequestLimit;
  while (std::chrono::steady_clock::now() < End) {
    unsigned Status =
        requestOnce(Relay.ip(), Port, "GET " + Path + RouteHead + "\r\n", 5s);
    if (MustSucceed ? Status == 200 : Status != 0)
      return true;
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

void checkBounds(RelayProcess &Relay, const std::string &Row) {
  Relay.measure();
  const RelayUsage &Peak = Relay.peak();
  constexpr std::size_t MegaByte = 1024 * 1024;
  std::printf("row | %s | %.1f MB + %.1f MB in sockets of %zu MB | %zu of %zu "
              "descriptors\n",
              Row.c_str(), static_cast<double>(Peak.ProcessBytes) / MegaByte,
              static_cast<double>(Peak.SocketBytes) / MegaByte, RelayMemoryMb,
              Peak.Descriptors, RelayDescriptors - ReservedDescriptors);
  CHECK(Relay.isAlive());
  REQUIRE(Peak.ProcessBytes > 0);
  REQUIRE(Peak.Descriptors > 0);
  CHECK(Peak.Descriptors < RelayDescriptors - ReservedDescriptors);
#ifndef __SANITIZE_ADDRESS__
  // The sanitizer keeps freed memory and adds its own to each allocation, so
  // that the process's memory means nothing in its build.
  CHECK(Peak.ProcessBytes + Peak.SocketBytes < RelayMemoryMb * MegaByte);
#endif
}

/// Runs a crowd against one port, then checks the relay.
void withstand(const char *Case, const char *AddressName, std::uint16_t Port,
               const std::string &Path, const ClientScript &Script) {
  RelayProcess Relay;
  Relay.start();
  ClientCrowd Crowd(Relay.ip(), Port, Script);
  Crowd.run(CrowdTime, [&] { Relay.measure(); });
  if (Port == RelayProcess::ReadyPort || Port == RelayProcess::MetricsPort)
    CHECK(isAnswered(Relay, Port, Path, false));
  CHECK(isAnswered(Relay, RelayProcess::FrontPort, "/plain/x", true));
  checkBounds(Relay, std::string(Case) + ", " + AddressName + " | " +
                         std::to_string(Script.Clients));
}

template <typename Address>
void withstand(const char *Case, const ClientScript &Script) {
  withstand(Case, Address::Name, Address::Port, Address::Path, Script);
}

template <typename Address> std::string post(const std::string &Fields) {
  return std::string("POST ") + Address::Path + RouteHead + Fields;
}

template <typename Address> std::string postBody(std::size_t Bytes) {
  return post<Address>("Content-Length: " + std::to_string(Bytes) + "\r\n\r\n");
}

template <typename Address> std::string postChunked() {
  return post<Address>("Transfer-Encoding: chunked\r\n\r\n");
}

std::string chunkOf(std::size_t Bytes) {
  char Size[20];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes);
  return Size + std::string(Bytes, 'x') + "\r\n";
}

/// Sends datagrams of 1 to 60,000 bytes, most of them small.
void floodWithDatagrams(RelayProcess &Relay, int Datagrams) {
  int Socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  REQUIRE(Socket >= 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(RelayProcess::PeerPort);
  To.sin_addr.s_addr = inet_addr(Relay.ip().c_str());
  std::mt19937_64 Random(1);
  std::string Bytes(60'000, 'x');
  for (int I = 0; I < Datagrams; ++I) {
    for (std::size_t At = 0; At < 64; ++At)
      Bytes[At] = static_cast<char>(Random());
    std::size_t Size = Random() % (I % 20 == 0 ? Bytes.size() : 1400) + 1;
    // A datagram may be lost; what counts is that many arrive.
    (void)sendto(Socket, Bytes.data(), Size, 0,
                 reinterpret_cast<sockaddr *>(&To), sizeof(To));
    if (I % 500 == 0)
      Relay.measure();
  }
  close(Socket);
}

constexpr const char *ShortField = "a:\r\n";

} // namespace

// The names of the tests end with these.
TYPE_TO_STRING(Route);
TYPE_TO_STRING(NoRoute);
TYPE_TO_STRING(Readiness);
TYPE_TO_STRING(MetricsPage);

#define EACH_ADDRESS Route, NoRoute, Readiness, MetricsPage

TEST_CASE_TEMPLATE("bodies of legal size that stop short of their end", Address,
                   EACH_ADDRESS) {
  withstand<Address>("legal bodies, in one piece",
                     {.Clients = 60,
                      .Prefix = postBody<Address>(Address::BodyBytes),
                      .Repeated = std::string(1024, 'x'),
                      .Repetitions = Address::BodyBytes / 1024 - 1});
}

TEST_CASE_TEMPLATE("bodies of legal size in small pieces", Address,
                   EACH_ADDRESS) {
  withstand<Address>("legal bodies, in small pieces",
                     {.Clients = 60,
                      .Prefix = postBody<Address>(Address::BodyBytes),
                      .Repeated = std::string(1024, 'x'),
                      .Repetitions = Address::BodyBytes / 1024 - 1,
                      .BytesPerWrite = 2048});
}

TEST_CASE_TEMPLATE("bodies of legal size in chunks, without the last", Address,
                   EACH_ADDRESS) {
  withstand<Address>("legal bodies, chunked",
                     {.Clients = 60,
                      .Prefix = postChunked<Address>(),
                      .Repeated = chunkOf(1000),
                      .Repetitions = Address::BodyBytes / 1024 - 1});
}

TEST_CASE_TEMPLATE("bodies far over the limit, with a length", Address,
                   EACH_ADDRESS) {
  withstand<Address>("oversized bodies, with a length",
                     {.Clients = 60,
                      .Prefix = postBody<Address>(LegalBodyBytes * 16),
                      .Repeated = std::string(1024, 'x'),
                      .Repetitions = LegalBodyBytes * 16 / 1024});
}

TEST_CASE_TEMPLATE("bodies far over the limit, chunked", Address,
                   EACH_ADDRESS) {
  withstand<Address>("oversized bodies, chunked",
                     {.Clients = 60,
                      .Prefix = postChunked<Address>(),
                      .Repeated = chunkOf(16 * 1024),
                      .Repetitions = LegalBodyBytes * 16 / (16 * 1024)});
}

TEST_CASE_TEMPLATE("bodies far over the limit that expect 100-continue",
                   Address, EACH_ADDRESS) {
  withstand<Address>(
      "oversized bodies, expecting 100-continue",
      {.Clients = 60,
       .Prefix = post<Address>("Expect: 100-continue\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"),
       .Repeated = chunkOf(16 * 1024),
       .Repetitions = LegalBodyBytes * 16 / (16 * 1024)});
}

TEST_CASE_TEMPLATE("heads of legal size with very many short fields", Address,
                   EACH_ADDRESS) {
  std::string Head = postBody<Address>(10);
  Head.resize(Head.size() - 2);
  // The readiness and the metrics address take heads of 8 KB.
  std::size_t HeadBytes =
      Address::Port == RelayProcess::FrontPort ? 16'000 : 8'000;
  while (Head.size() < HeadBytes)
    Head += ShortField;
  withstand<Address>("many short header fields",
                     {.Clients = 400, .Prefix = Head + "\r\n123456789"});
}

TEST_CASE_TEMPLATE("chunk extensions without end", Address, EACH_ADDRESS) {
  withstand<Address>("chunk extensions",
                     {.Clients = 300,
                      .Prefix = postChunked<Address>() + "1",
                      .Repeated = ";a=b",
                      .Repetitions = 15'000});
}

TEST_CASE_TEMPLATE("chunks of one byte with large extensions", Address,
                   EACH_ADDRESS) {
  withstand<Address>("one-byte chunks with extensions",
                     {.Clients = 300,
                      .Prefix = postChunked<Address>(),
                      .Repeated = "1;a=" + std::string(4000, 'b') + "\r\nx\r\n",
                      .Repetitions = 60'000});
}

TEST_CASE_TEMPLATE("trailers of very many short fields", Address,
                   EACH_ADDRESS) {
  std::string Request = postChunked<Address>() + "1\r\nx\r\n0\r\n";
  for (int I = 0; I < 10'000; ++I)
    Request += ShortField;
  withstand<Address>("trailers of many short fields",
                     {.Clients = 300, .Prefix = Request + "\r\n"});
}

TEST_CASE_TEMPLATE("pipelined requests whose responses are not read", Address,
                   EACH_ADDRESS) {
  withstand<Address>(
      "pipelined requests, responses unread",
      {.Clients = 100,
       .Repeated = "GET " + std::string(Address::Path) + RouteHead + "\r\n",
       .Repetitions = 100'000,
       .Reading = ClientReading::Nothing});
}

TEST_CASE_TEMPLATE("requests sent a byte at a time", Address, EACH_ADDRESS) {
  withstand<Address>("requests a byte at a time",
                     {.Clients = 700,
                      .Prefix = "GET " + std::string(Address::Path) +
                                RouteHead + "Filler: " + std::string(900, 'x'),
                      .BytesPerWrite = 1,
                      .Pause = 10ms});
}

TEST_CASE_TEMPLATE("heads that stop partway", Address, EACH_ADDRESS) {
  withstand<Address>("heads that stop partway",
                     {.Clients = 700,
                      .Prefix = "GET " + std::string(Address::Path) +
                                RouteHead +
                                "Filler: " + std::string(7'000, 'x')});
}

TEST_CASE_TEMPLATE("bodies that stop partway", Address, EACH_ADDRESS) {
  withstand<Address>(
      "bodies that stop partway",
      {.Clients = 700,
       .Prefix = postBody<Address>(10'000) + std::string(7'000, 'x')});
}

TEST_CASE_TEMPLATE("connections without a request", Address, EACH_ADDRESS) {
  withstand<Address>("idle connections", {.Clients = 700});
}

TEST_CASE("large responses that are not read") {
  withstand("large responses, unread", Route::Name, Route::Port, Route::Path,
            {.Clients = 300,
             .Prefix = "GET /plain/large" + RouteHead + "\r\n",
             .Reading = ClientReading::Nothing});
}

TEST_CASE("large responses that are read a byte at a time") {
  withstand("large responses, a byte at a time", Route::Name, Route::Port,
            Route::Path,
            {.Clients = 300,
             .Prefix = "GET /plain/large" + RouteHead + "\r\n",
             .Reading = ClientReading::OneByte});
}

TEST_CASE("streams that are not read") {
  withstand("streams, unread", Route::Name, Route::Port, Route::Path,
            {.Clients = 300,
             .Prefix = "GET /stream/x" + RouteHead + "\r\n",
             .Reading = ClientReading::Nothing});
}

TEST_CASE("streams that are read a byte at a time") {
  withstand("streams, a byte at a time", Route::Name, Route::Port, Route::Path,
            {.Clients = 300,
             .Prefix = "GET /stream/x" + RouteHead + "\r\n",
             .Reading = ClientReading::OneByte});
}

TEST_CASE("connections to the address for other hosts") {
  withstand("connections", "other hosts", RelayProcess::PeerPort, "/",
            {.Clients = 700, .Prefix = std::string(8192, 'x')});
}

TEST_CASE("datagrams of any content to the address for other hosts") {
  RelayProcess Relay;
  Relay.start();
  floodWithDatagrams(Relay, 20'000);
  CHECK(isAnswered(Relay, RelayProcess::FrontPort, "/plain/x", true));
  checkBounds(Relay, "datagrams, other hosts | 1 sender, 20000");
}

TEST_CASE("a single large request of very many short fields is served") {
  // Guards against bounds that refuse what the limits allow in calm. A body of
  // maxBodyBytes would take half of the memory that these settings leave for
  // messages, so this one is smaller.
  constexpr std::size_t BodyBytes = LegalBodyBytes / 2;
  std::string Request = "POST /plain/x" + RouteHead +
                        "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  while (Request.size() < 16'000)
    Request += ShortField;
  Request += "\r\n" + std::string(BodyBytes, 'x');
  RelayProcess Relay;
  Relay.start();
  CHECK(requestOnce(Relay.ip(), RelayProcess::FrontPort, Request,
                    RequestLimit) == 200);
}
