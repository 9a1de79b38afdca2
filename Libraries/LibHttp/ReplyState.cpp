#include "LibHttp/ReplyState.h"

#include "LibHttp/AnswerText.h"

namespace bergamothook::detail {

ReplyState::ReplyState(std::shared_ptr<ServerConnection> Connection,
                       ReplyManner Manner,
                       std::shared_ptr<std::atomic<std::size_t>> ActiveRequests)
    : Connection(std::move(Connection)), Manner(Manner),
      ActiveRequests(std::move(ActiveRequests)) {
  ++*this->ActiveRequests;
}

ReplyState::~ReplyState() {
  if (this->Current == Phase::Waiting)
    this->sendResponse(500, "text/plain", "no answer\n", {});
  if (this->Current == Phase::Streaming)
    this->abort();
}

void ReplyState::sendResponse(int Status, const std::string &ContentType,
                              const std::string &Body,
                              HttpHeaders ExtraHeaders) {
  if (this->Current != Phase::Waiting)
    return;
  this->addConnectionHeader(ExtraHeaders);
  std::string Bytes =
      answerHead(Status, ContentType, ExtraHeaders, Body.size());
  if (!this->Manner.IsHead)
    Bytes += Body;
  this->leave();
  this->Connection->finish(std::move(Bytes), this->Manner.KeepsConnection,
                           readMonotonicClock());
}

void ReplyState::beginStream(int Status, const std::string &ContentType,
                             HttpHeaders ExtraHeaders) {
  if (this->Current != Phase::Waiting)
    return;
  this->Current = Phase::Streaming;
  this->GatheredStatus = Status;
  this->GatheredType = ContentType;
  this->GatheredHeaders = ExtraHeaders;
  if (!this->Manner.TakesChunks)
    return;
  this->addConnectionHeader(ExtraHeaders);
  this->Connection->send(
      answerHead(Status, ContentType, ExtraHeaders, std::nullopt),
      readMonotonicClock());
}

bool ReplyState::write(const std::string &Piece) {
  if (this->Current != Phase::Streaming)
    return false;
  if (Piece.empty() || this->Manner.IsHead)
    return !this->isClientDisconnected();
  if (!this->Manner.TakesChunks) {
    this->Gathered += Piece;
    return !this->isClientDisconnected();
  }
  return this->Connection->send(answerChunk(Piece), readMonotonicClock());
}

void ReplyState::end() {
  if (this->Current != Phase::Streaming)
    return;
  if (!this->Manner.TakesChunks) {
    this->Current = Phase::Waiting;
    this->sendResponse(this->GatheredStatus, this->GatheredType, this->Gathered,
                       this->GatheredHeaders);
    return;
  }
  this->leave();
  this->Connection->finish(this->Manner.IsHead ? "" : LastAnswerChunk,
                           this->Manner.KeepsConnection, readMonotonicClock());
}

void ReplyState::abort() {
  if (this->Current == Phase::Ended)
    return;
  this->leave();
  this->Connection->cut();
}

void ReplyState::leave() {
  this->Current = Phase::Ended;
  --*this->ActiveRequests;
}

void ReplyState::addConnectionHeader(HttpHeaders &Headers) const {
  if (!this->Manner.KeepsConnection)
    Headers["Connection"] = "close";
}

} // namespace bergamothook::detail
