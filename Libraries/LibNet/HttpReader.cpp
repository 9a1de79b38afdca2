#include "LibNet/HttpReader.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bergamothook {

namespace http = boost::beast::http;

namespace detail {

/// Gives bytes to a Beast parser. \returns how many it took.
template <typename Parser>
std::size_t feed(Parser &Into, std::string_view Bytes,
                 boost::system::error_code &Failure);

/// Tells a Beast parser that no more bytes come.
template <typename Parser>
void feedEnd(Parser &Into, boost::system::error_code &Failure);

// The analyzer takes the error code inside of Beast's parser for uninitialized.
#ifndef __clang_analyzer__
template <typename Parser>
std::size_t feed(Parser &Into, std::string_view Bytes,
                 boost::system::error_code &Failure) {
  return Into.put(boost::asio::buffer(Bytes.data(), Bytes.size()), Failure);
}

template <typename Parser>
void feedEnd(Parser &Into, boost::system::error_code &Failure) {
  Into.put_eof(Failure);
}
#endif

} // namespace detail

namespace {

std::error_code errorOf(const boost::system::error_code &Failure) {
  if (Failure == http::error::header_limit)
    return NetError::HeadTooLarge;
  if (Failure == http::error::body_limit)
    return NetError::BodyTooLarge;
  return NetError::Malformed;
}

template <typename Fields> HeaderList headersOf(const Fields &From) {
  HeaderList Out;
  for (const auto &Field : From) {
    auto Name = Field.name_string();
    auto Value = Field.value();
    Out.add({Name.data(), Name.size()}, {Value.data(), Value.size()});
  }
  return Out;
}

HttpRequestHead headOf(const http::request<http::string_body> &Message) {
  HttpRequestHead Head;
  auto Method = Message.method_string();
  auto Target = Message.target();
  Head.Method.assign(Method.data(), Method.size());
  Head.Target.assign(Target.data(), Target.size());
  Head.Headers = headersOf(Message.base());
  Head.KeepAlive = Message.keep_alive();
  Head.ExpectsContinue = Head.Headers.hasToken("Expect", "100-continue");
  return Head;
}

} // namespace

bool HttpRequestReader::waitForFirstByte(
    TimePoint Deadline, const std::function<bool()> &IsGivenUp) {
  this->Tasks.waitUntil(this->Changed, Deadline, [&] {
    return !this->Connection->unread().empty() ||
           this->Connection->hasEnded() || IsGivenUp();
  });
  return !this->Connection->unread().empty();
}

Result<HttpRequestMessage>
HttpRequestReader::read(const HttpReadLimits &Limits, TimePoint Deadline,
                        const std::function<void()> &OnContinue) {
  http::request_parser<http::string_body> Parser;
  Parser.eager(true);
  Parser.header_limit(Limits.MaxHeadBytes);
  Parser.body_limit(Limits.MaxBodyBytes);
  bool HasContinued = false;
  while (!Parser.is_done()) {
    std::string_view Bytes = this->Connection->unread();
    boost::system::error_code Failure;
    std::size_t Used = 0;
    if (!Bytes.empty())
      Used = detail::feed(Parser, Bytes, Failure);
    if (Failure && Failure != http::error::need_more)
      return errorOf(Failure);
    std::size_t Left = Bytes.size() - Used;
    this->Connection->take(Used);
    if (Parser.is_done())
      break;
    if (Parser.is_header_done() && !HasContinued) {
      HasContinued = true;
      if (Parser.get()[http::field::expect] == "100-continue")
        OnContinue();
    }
    // A head that does not fit into the buffer would never become complete.
    if (!Parser.is_header_done() && Left > Limits.MaxHeadBytes)
      return NetError::HeadTooLarge;
    bool HasCome = this->Tasks.waitUntil(this->Changed, Deadline, [&] {
      return this->Connection->unread().size() > Left ||
             this->Connection->hasEnded();
    });
    if (this->Connection->unread().size() > Left)
      continue;
    return HasCome ? this->Connection->endReason()
                   : make_error_code(NetError::TimedOut);
  }
  auto Message = Parser.release();
  HttpRequestMessage Out{headOf(Message), std::move(Message.body())};
  return Out;
}

namespace {

/// Less than a connection holds of what was not read, so that a head without
/// end is seen as one before reading stops.
constexpr std::uint32_t MaxResponseHeadBytes = 32 * 1024;
/// Heads of the class 1xx that are passed over before an answer.
constexpr unsigned MaxInterimHeads = 16;

} // namespace

struct HttpResponseReader::State {
  std::optional<http::response_parser<http::string_body>> Parser;
  bool HasNoBody = false;
  bool IsBroken = false;

  void restart() {
    this->Parser.emplace();
    this->Parser->eager(true);
    this->Parser->header_limit(MaxResponseHeadBytes);
    this->Parser->body_limit(std::uint64_t{1} << 40);
    this->Parser->skip(this->HasNoBody);
  }
};

HttpResponseReader::HttpResponseReader(TcpConnection::Handle Connection,
                                       Runtime Tasks, Event &Changed,
                                       bool HasNoBody)
    : Connection(std::move(Connection)), Tasks(std::move(Tasks)),
      Changed(&Changed), Present(std::make_unique<State>()) {
  this->Present->HasNoBody = HasNoBody;
  this->Present->restart();
}

HttpResponseReader::~HttpResponseReader() = default;
HttpResponseReader::HttpResponseReader(HttpResponseReader &&) noexcept =
    default;

Result<void>
HttpResponseReader::advance(TimePoint Deadline,
                            const std::function<bool()> &IsGivenUp) {
  auto &Parser = *this->Present->Parser;
  bool HadHead = Parser.is_header_done();
  for (;;) {
    std::string_view Bytes = this->Connection->unread();
    std::size_t Left = Bytes.size();
    if (!Bytes.empty()) {
      boost::system::error_code Failure;
      std::size_t Used = detail::feed(Parser, Bytes, Failure);
      this->Connection->take(Used);
      Left -= Used;
      if (Failure && Failure != http::error::need_more) {
        this->Present->IsBroken = true;
        return NetError::Malformed;
      }
    }
    if (Parser.is_done() || (!HadHead && Parser.is_header_done()) ||
        !Parser.get().body().empty())
      return success();
    bool HasCome = this->Tasks.waitUntil(*this->Changed, Deadline, [&] {
      return this->Connection->unread().size() > Left ||
             this->Connection->hasEnded() || IsGivenUp();
    });
    if (this->Connection->unread().size() > Left)
      continue;
    this->Present->IsBroken = true;
    if (this->Connection->hasEnded()) {
      boost::system::error_code Failure;
      if (!this->Connection->wasLost() && Parser.is_header_done() &&
          Parser.need_eof()) {
        detail::feedEnd(Parser, Failure);
        if (!Failure)
          return success();
      }
      return this->Connection->endReason();
    }
    return HasCome ? NetError::Cancelled : NetError::TimedOut;
  }
}

Result<HttpResponseHead>
HttpResponseReader::readHead(TimePoint Deadline,
                             const std::function<bool()> &IsGivenUp) {
  for (unsigned Interim = 0; Interim <= MaxInterimHeads; ++Interim) {
    while (!this->Present->Parser->is_header_done()) {
      BOOST_OUTCOME_TRYV(this->advance(Deadline, IsGivenUp));
    }
    const auto &Message = this->Present->Parser->get();
    if (Message.result_int() / 100 == 1) {
      this->Present->restart();
      continue;
    }
    HttpResponseHead Head;
    Head.Status = Message.result_int();
    auto Reason = Message.reason();
    Head.Reason.assign(Reason.data(), Reason.size());
    Head.Headers = headersOf(Message.base());
    Head.KeepAlive = Message.keep_alive();
    Head.IsChunked = Message.chunked();
    if (auto Length = this->Present->Parser->content_length())
      Head.Length = *Length;
    return Head;
  }
  this->Present->IsBroken = true;
  return NetError::Malformed;
}

Result<BodyPiece>
HttpResponseReader::readBody(TimePoint Deadline,
                             const std::function<bool()> &IsGivenUp) {
  auto &Parser = *this->Present->Parser;
  if (!Parser.is_done() && Parser.get().body().empty()) {
    BOOST_OUTCOME_TRYV(this->advance(Deadline, IsGivenUp));
  }
  BodyPiece Piece;
  Piece.Bytes.swap(Parser.get().body());
  Piece.IsLast = Parser.is_done();
  return Piece;
}

Result<std::string>
HttpResponseReader::readAll(std::size_t MaxBytes, TimePoint Deadline,
                            const std::function<bool()> &IsGivenUp) {
  std::string Out;
  for (;;) {
    BOOST_OUTCOME_TRY(Piece, this->readBody(Deadline, IsGivenUp));
    Out += Piece.Bytes;
    if (Out.size() > MaxBytes)
      return NetError::BodyTooLarge;
    if (Piece.IsLast)
      return Out;
  }
}

bool HttpResponseReader::canReuse() const {
  const auto &Parser = *this->Present->Parser;
  return !this->Present->IsBroken && Parser.is_done() &&
         Parser.get().keep_alive() && !this->Connection->hasEnded() &&
         this->Connection->unread().empty();
}

} // namespace bergamothook
