#include "LibHttp/ReplyState.h"

#include "LibHttp/ResponseText.h"

namespace bergamothook::detail {

ReplyState::ReplyState(std::shared_ptr<ServerConnection> Connection,
                       ReplyOptions Options,
                       std::shared_ptr<std::atomic<std::size_t>> ActiveRequests)
    : Connection(std::move(Connection)), Options(Options),
      ActiveRequests(std::move(ActiveRequests)) {
  ++*this->ActiveRequests;
}

ReplyState::~ReplyState() {
  if (this->CurrentPhase == Phase::NotStarted)
    this->sendResponse(500, "text/plain", "no answer\n", {});
  if (this->CurrentPhase == Phase::Streaming)
    this->abort();
}

void ReplyState::sendResponse(int Status, const std::string &ContentType,
                              const std::string &Body,
                              HttpHeaders ExtraHeaders) {
  if (this->CurrentPhase != Phase::NotStarted)
    return;
  this->addConnectionHeader(ExtraHeaders);
  std::string Bytes =
      responseHead(Status, ContentType, ExtraHeaders, Body.size());
  if (!this->Options.IsHead)
    Bytes += Body;
  this->markEnded();
  this->Connection->finish(std::move(Bytes), this->Options.KeepsConnection,
                           readMonotonicClock());
}

void ReplyState::beginStream(int Status, const std::string &ContentType,
                             HttpHeaders ExtraHeaders) {
  if (this->CurrentPhase != Phase::NotStarted)
    return;
  this->CurrentPhase = Phase::Streaming;
  this->BufferedStatus = Status;
  this->BufferedContentType = ContentType;
  this->BufferedHeaders = ExtraHeaders;
  if (!this->Options.AcceptsChunks)
    return;
  this->addConnectionHeader(ExtraHeaders);
  this->Connection->send(
      responseHead(Status, ContentType, ExtraHeaders, std::nullopt),
      readMonotonicClock());
}

bool ReplyState::write(const std::string &Chunk) {
  if (this->CurrentPhase != Phase::Streaming)
    return false;
  if (Chunk.empty() || this->Options.IsHead)
    return !this->isClientDisconnected();
  if (!this->Options.AcceptsChunks) {
    this->BufferedBody += Chunk;
    return !this->isClientDisconnected();
  }
  return this->Connection->send(encodeChunk(Chunk), readMonotonicClock());
}

void ReplyState::end() {
  if (this->CurrentPhase != Phase::Streaming)
    return;
  if (!this->Options.AcceptsChunks) {
    this->CurrentPhase = Phase::NotStarted;
    this->sendResponse(this->BufferedStatus, this->BufferedContentType,
                       this->BufferedBody, this->BufferedHeaders);
    return;
  }
  this->markEnded();
  this->Connection->finish(this->Options.IsHead ? "" : LastChunk,
                           this->Options.KeepsConnection, readMonotonicClock());
}

void ReplyState::abort() {
  if (this->CurrentPhase == Phase::Ended)
    return;
  this->markEnded();
  this->Connection->abort();
}

void ReplyState::markEnded() {
  this->CurrentPhase = Phase::Ended;
  --*this->ActiveRequests;
}

void ReplyState::addConnectionHeader(HttpHeaders &Headers) const {
  if (!this->Options.KeepsConnection)
    Headers["Connection"] = "close";
}

} // namespace bergamothook::detail
