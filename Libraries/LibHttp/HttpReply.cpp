#include "LibHttp/HttpReply.h"

#include "LibHttp/ReplyState.h"

namespace bergamothook {

HttpReply::HttpReply(std::shared_ptr<detail::ReplyState> State)
    : State(std::move(State)) {}

void HttpReply::sendResponse(int Status, const std::string &ContentType,
                             const std::string &Body,
                             const HttpHeaders &ExtraHeaders) {
  this->State->sendResponse(Status, ContentType, Body, ExtraHeaders);
}

void HttpReply::beginStream(int Status, const std::string &ContentType,
                            const HttpHeaders &ExtraHeaders) {
  this->State->beginStream(Status, ContentType, ExtraHeaders);
}

bool HttpReply::write(const std::string &Chunk) {
  return this->State->write(Chunk);
}

void HttpReply::end() { this->State->end(); }

void HttpReply::abort() { this->State->abort(); }

bool HttpReply::isClientDisconnected() const {
  return this->State->isClientDisconnected();
}

} // namespace bergamothook
