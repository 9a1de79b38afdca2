#include "LibHttp/HttpStreamHandle.h"

#include "LibHttp/CurlLoop.h"

namespace bergamothook {

HttpStreamHandle::HttpStreamHandle(Runtime Tasks,
                                   std::shared_ptr<detail::CurlLoop> Loop,
                                   std::shared_ptr<detail::Transfer> State)
    : Tasks(std::move(Tasks)), Loop(std::move(Loop)), State(std::move(State)) {}

HttpStreamHandle::~HttpStreamHandle() {
  if (this->State)
    this->Loop->close(this->State);
}

int HttpStreamHandle::status() const { return this->State->status(); }

const HttpHeaders &HttpStreamHandle::headers() const {
  return this->State->headers();
}

Result<std::optional<std::string>> HttpStreamHandle::next(TimePoint Deadline) {
  bool MustResume = false;
  auto Chunk = this->State->next(this->Tasks, Deadline, MustResume);
  if (MustResume)
    this->Loop->resume(this->State);
  return Chunk;
}

} // namespace bergamothook
