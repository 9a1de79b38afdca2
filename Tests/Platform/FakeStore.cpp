#include "FakeStore.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace bergamothook {

namespace {

using nlohmann::json;
using platform::KeyedRecord;

std::map<std::string, std::string> parseQuery(std::string_view Target) {
  std::map<std::string, std::string> Query;
  std::size_t Begin = Target.find('?');
  while (Begin != std::string_view::npos) {
    std::size_t End = Target.find('&', Begin + 1);
    std::string_view Pair = Target.substr(Begin + 1, End - Begin - 1);
    std::size_t Split = Pair.find('=');
    Query[std::string(Pair.substr(0, Split))] = Pair.substr(Split + 1);
    Begin = End;
  }
  return Query;
}

std::string bigEndian(std::uint64_t Value) {
  std::string Out;
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>(Value >> Shift));
  return Out;
}

std::string encodeBase64(const std::string &Bytes) {
  std::string Out((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Out.resize(static_cast<std::size_t>(Length));
  return Out;
}

} // namespace

FakeStore::FakeStore(NetRuntime &Loop)
    : Tasks(Loop.hooks()),
      Port(Loop, {"127.0.0.1:0", 16, 64, {}},
           [this](const TcpConnection::Handle &From) { this->serve(From); }) {}

void FakeStore::stop() {
  this->Port.stop();
  while (this->Port.connections() > 0)
    this->Tasks.sleepUntil(this->Tasks.Now() + std::chrono::milliseconds(1));
}

void FakeStore::put(const std::string &Name, std::string_view Key,
                    std::string_view Value) {
  this->Topics[Name].Records.push_back(platform::encodeKeyed(Key, Value));
}

void FakeStore::compact(const std::string &Name) {
  Topic &Selected = this->Topics[Name];
  Selected.FirstRetained = Selected.Records.size();
}

void FakeStore::restore(const std::string &Name, std::size_t Lost) {
  std::vector<std::string> &Records = this->Topics[Name].Records;
  Records.resize(Records.size() - std::min(Lost, Records.size()));
  ++this->Era;
}

void FakeStore::serve(const TcpConnection::Handle &Connection) {
  Event Changed;
  ScopedEventAttachment Attached(Connection, Changed);
  HttpRequestReader Reader(Connection, this->Tasks, Changed);
  for (;;) {
    TimePoint Deadline = this->Tasks.Now() + std::chrono::seconds(20);
    auto Message = Reader.read({}, Deadline, [] {});
    if (!Message || this->Fault == StoreFault::CloseUnprocessed)
      return;
    Response Outgoing;
    if (this->Fault == StoreFault::Unavailable)
      Outgoing.Status = 503;
    else if (this->Fault == StoreFault::RateLimited)
      Outgoing.Status = 429;
    else
      Outgoing = this->answer(Message.value());
    if (this->Fault == StoreFault::DropResponse)
      return;
    HttpResponseHead Head;
    Head.Status = Outgoing.Status;
    Head.Headers.add("Store-Era", std::to_string(this->Era));
    auto Sent = this->send(
        *Connection,
        formatResponseHead(Head, BodyFraming::Length, Outgoing.Body.size()) +
            Outgoing.Body,
        Deadline);
    if (!Sent)
      return;
  }
}

Result<void> FakeStore::send(TcpConnection &To, std::string_view Bytes,
                             TimePoint Deadline) const {
  if (this->StallAfter)
    Bytes = Bytes.substr(0, *this->StallAfter);
  while (this->PieceBytes > 0 && Bytes.size() > this->PieceBytes) {
    BOOST_OUTCOME_TRYV(To.write(Bytes.substr(0, this->PieceBytes), Deadline));
    Bytes.remove_prefix(this->PieceBytes);
    this->Tasks.sleepUntil(this->Tasks.Now() + this->PiecePause);
  }
  return To.write(Bytes, Deadline);
}

FakeStore::Response FakeStore::answer(const HttpRequestMessage &Message) {
  const std::string &Target = Message.Head.Target;
  auto Query = parseQuery(Target);
  Topic &Selected = this->Topics[Query["topic"]];
  std::string Path = Target.substr(0, Target.find('?'));
  this->Calls.push_back(Path);
  this->OnCall(Path);
  if (Path == "/-/log-append")
    return this->append(Selected, Query, Message.Body);
  if (Path == "/-/log-read")
    return read(Selected, Query);
  if (Path == "/-/log-newest")
    return newest(Selected);
  return {404, ""};
}

FakeStore::Response
FakeStore::append(Topic &To, const std::map<std::string, std::string> &Query,
                  std::string_view Body) {
  auto At = Query.find("at");
  if (At != Query.end() && std::stoull(At->second) != To.Records.size())
    return {412, json{{"endOffset", To.Records.size()}}.dump()};
  std::size_t First = To.Records.size();
  auto Page = platform::parseRecordPage(
      bigEndian(0) + bigEndian(0) + std::string(Body), 0);
  for (const std::string &Record : Page.value().Records)
    To.Records.push_back(Record);
  return {200,
          json{{"offset", First}, {"endOffset", To.Records.size()}}.dump()};
}

FakeStore::Response
FakeStore::read(const Topic &From,
                const std::map<std::string, std::string> &Query) const {
  std::size_t Begin = std::stoull(Query.at("from"));
  if (Begin < From.FirstRetained || Begin > From.Records.size())
    return {410, json{{"firstOffset", From.FirstRetained}}.dump()};
  std::string Out =
      bigEndian(From.Records.size()) + bigEndian(From.FirstRetained);
  for (std::size_t I = Begin; I < From.Records.size(); ++I)
    Out += platform::frameRecord(From.Records[I]);
  constexpr std::size_t OffsetsBytes = 16;
  constexpr std::size_t BytesPerKiB = 1024;
  std::size_t MaxFetch = std::stoull(Query.at("maxFetch")) * BytesPerKiB;
  Out.resize(
      std::min(Out.size(), OffsetsBytes + MaxFetch - this->FetchOverhead));
  return {200, Out};
}

FakeStore::Response FakeStore::newest(const Topic &Selected) const {
  std::map<std::string, KeyedRecord> Newest;
  for (std::size_t I = 0; I < Selected.Records.size(); ++I) {
    KeyedRecord Record = platform::decodeKeyed(Selected.Records[I], I).value();
    if (Record.Value)
      Newest[Record.Key] = Record;
    else
      Newest.erase(Record.Key);
  }
  json Entries(this->OddEntries);
  for (const auto &[Key, Record] : Newest)
    Entries.push_back({{"key", Key},
                       {"value", encodeBase64(*Record.Value)},
                       {"offset", Record.Offset}});
  return {200, json{{"entries", Entries},
                    {"hasMore", false},
                    {"endOffset", Selected.Records.size()}}
                   .dump()};
}

} // namespace bergamothook
