#include "LibHttp/HttpClient.h"

#include "LibHttp/CurlLoop.h"

namespace bergamothook {

HttpClient::HttpClient(Runtime Tasks)
    : Tasks(std::move(Tasks)), Loop(std::make_shared<detail::CurlLoop>()) {}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::call(HttpCall Call, TimePoint Deadline) {
  std::size_t MaxBytes = Call.MaxResponseBytes;
  BOOST_OUTCOME_TRY(Stream, this->open(std::move(Call), Deadline));
  HttpResponse Response;
  Response.Status = Stream.status();
  Response.Headers = Stream.headers();
  for (;;) {
    BOOST_OUTCOME_TRY(Chunk, Stream.next(Deadline));
    if (!Chunk)
      return Response;
    if (Response.Body.size() + Chunk->size() > MaxBytes)
      return HttpError::TooLarge;
    Response.Body += *Chunk;
  }
}

Result<HttpStreamHandle> HttpClient::open(HttpCall Call, TimePoint Deadline) {
  auto State = std::make_shared<detail::Transfer>(std::move(Call));
  HttpStreamHandle Stream(this->Tasks, this->Loop, State);
  this->Loop->start(State);
  BOOST_OUTCOME_TRY(State->awaitHeaders(this->Tasks, Deadline));
  return Stream;
}

} // namespace bergamothook
