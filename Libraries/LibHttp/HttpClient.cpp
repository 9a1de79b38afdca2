#include "LibHttp/HttpClient.h"

#include "LibHttp/CurlLoop.h"

namespace bergamothook {

HttpClient::HttpClient(Runtime Tasks)
    : Tasks(std::move(Tasks)), Loop(std::make_shared<detail::CurlLoop>()) {}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::call(HttpCall Call, TimePoint Deadline) {
  std::size_t MaxBytes = Call.MaxResponseBytes;
  BOOST_OUTCOME_TRY(Stream, this->open(std::move(Call), Deadline));
  HttpResponse Answer;
  Answer.Status = Stream.status();
  Answer.Headers = Stream.headers();
  for (;;) {
    BOOST_OUTCOME_TRY(Piece, Stream.next(Deadline));
    if (!Piece)
      return Answer;
    if (Answer.Body.size() + Piece->size() > MaxBytes)
      return HttpError::TooLarge;
    Answer.Body += *Piece;
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
