#include "LibNet/HttpReader.h"

#include "LibBase/HttpStatus.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <new>
#include <optional>
#include <stdexcept>

namespace bergamothook {

namespace http = boost::beast::http;

namespace detail {

/// A body in a string that grows as bytes arrive. The string body of Beast
/// reserves the length that the head states, which any sender can choose.
struct GrowingBody {
  using value_type = std::string;

  class reader { // NOLINT(readability-identifier-naming): Beast's name.
  public:
    template <bool IsRequest, typename Fields>
    reader(http::header<IsRequest, Fields> &, value_type &Body) : Body(Body) {}

    void init(const boost::optional<std::uint64_t> &,
              boost::system::error_code &Failure) {
      Failure = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers &Received,
                    boost::system::error_code &Failure) {
      Failure = {};
      std::size_t Bytes = 0;
      for (auto At = boost::asio::buffer_sequence_begin(Received);
           At != boost::asio::buffer_sequence_end(Received); ++At) {
        boost::asio::const_buffer Part = *At;
        this->Body.append(static_cast<const char *>(Part.data()), Part.size());
        Bytes += Part.size();
      }
      return Bytes;
    }

    void finish(boost::system::error_code &Failure) { Failure = {}; }

  private:
    value_type &Body;
  };
};

/// Feeds bytes to a Beast parser. \returns how many it consumed.
template <typename Parser>
std::size_t feed(Parser &Into, std::string_view Bytes,
                 boost::system::error_code &Failure);

/// Signals the end of the input to a Beast parser.
template <typename Parser>
void feedEnd(Parser &Into, boost::system::error_code &Failure);

// Hidden from the Clang static analyzer, which reports the error code inside
// Beast's parser as uninitialized.
#ifndef __clang_analyzer__
template <typename Parser>
std::size_t feed(Parser &Into, std::string_view Bytes,
                 boost::system::error_code &Failure) {
  try {
    return Into.put(boost::asio::buffer(Bytes.data(), Bytes.size()), Failure);
  } catch (const std::bad_alloc &) {
    Failure = make_error_code(boost::system::errc::not_enough_memory);
  } catch (const std::length_error &) {
    Failure = make_error_code(boost::system::errc::not_enough_memory);
  }
  return 0;
}

template <typename Parser>
void feedEnd(Parser &Into, boost::system::error_code &Failure) {
  Into.put_eof(Failure);
}
#endif

} // namespace detail

namespace {

constexpr unsigned Http11 = 11; // As Beast numbers the versions.

std::error_code toNetError(const boost::system::error_code &Failure) {
  if (Failure == http::error::header_limit)
    return NetError::HeadTooLarge;
  if (Failure == http::error::body_limit)
    return NetError::BodyTooLarge;
  if (Failure == boost::system::errc::not_enough_memory)
    return NetError::OutOfMemory;
  return NetError::Malformed;
}

template <typename Fields> HeaderList toHeaderList(const Fields &From) {
  HeaderList Out;
  for (const auto &Field : From) {
    auto Name = Field.name_string();
    auto Value = Field.value();
    Out.add({Name.data(), Name.size()}, {Value.data(), Value.size()});
  }
  return Out;
}

/// Heads with more fields are counted as memory. Ordinary heads have 10 to 30.
constexpr std::size_t MaxUncountedFields = 64;
/// What a field takes in the parser, in the head and in its copy for a target,
/// including the allocator's share; its own bytes may be as few as four.
constexpr std::size_t BytesPerField = 256;

struct FieldSize {
  std::size_t Count = 0;
  std::size_t Bytes = 0;

  std::size_t heldBytes() const {
    return this->Count > MaxUncountedFields ? this->Count * BytesPerField : 0;
  }
};

template <typename Fields> FieldSize measureFields(const Fields &Of) {
  FieldSize Size;
  for (const auto &Field : Of) {
    ++Size.Count;
    Size.Bytes += Field.name_string().size() + Field.value().size() +
                  std::string_view(": \r\n").size();
  }
  return Size;
}

HttpRequestHead
toRequestHead(const http::request<detail::GrowingBody> &Message) {
  HttpRequestHead Head;
  auto Method = Message.method_string();
  auto Target = Message.target();
  Head.Method.assign(Method.data(), Method.size());
  Head.Target.assign(Target.data(), Target.size());
  Head.Headers = toHeaderList(Message.base());
  Head.KeepAlive = Message.keep_alive();
  Head.ReadsChunks = Message.version() >= Http11;
  Head.ExpectsContinue = Head.Headers.hasToken("Expect", "100-continue");
  return Head;
}

} // namespace

bool HttpRequestReader::waitForFirstByte(
    TimePoint Deadline, const std::function<bool()> &IsCancelled) {
  this->Tasks.waitUntil(this->Changed, Deadline, [&] {
    return !this->Connection->unread().empty() ||
           this->Connection->hasEnded() || IsCancelled();
  });
  return !this->Connection->unread().empty();
}

Result<HttpRequestMessage>
HttpRequestReader::read(const HttpReadLimits &Limits, TimePoint Deadline,
                        const std::function<void()> &OnContinue,
                        const std::function<bool()> &IsCancelled) {
  auto Message = this->readMessage(Limits, Deadline, OnContinue, IsCancelled);
  if (!Message)
    this->Connection->keep(0);
  return Message;
}

Result<HttpRequestMessage>
HttpRequestReader::readMessage(const HttpReadLimits &Limits, TimePoint Deadline,
                               const std::function<void()> &OnContinue,
                               const std::function<bool()> &IsCancelled) {
  http::request_parser<detail::GrowingBody> Parser;
  // Stops at the end of the head, whose fields the trailer's are added to.
  Parser.eager(false);
  Parser.header_limit(Limits.MaxHeadBytes);
  Parser.body_limit(Limits.MaxBodyBytes);
  bool HasCheckedExpect = false;
  std::optional<FieldSize> HeadSize;
  std::size_t FieldMemory = 0;
  while (!Parser.is_done()) {
    std::string_view Bytes = this->Connection->unread();
    boost::system::error_code Failure;
    std::size_t Consumed = 0;
    bool IsHeadNew = false;
    if (!Bytes.empty())
      Consumed = detail::feed(Parser, Bytes, Failure);
    if (Failure && Failure != http::error::need_more)
      return toNetError(Failure);
    std::size_t UnconsumedBytes = Bytes.size() - Consumed;
    this->Connection->consume(Consumed);
    if (Parser.is_header_done() && !HeadSize) {
      HeadSize = measureFields(Parser.get().base());
      FieldMemory = HeadSize->heldBytes();
      Parser.eager(true);
      IsHeadNew = true;
    }
    if (Parser.is_done() && Parser.chunked()) {
      FieldSize Whole = measureFields(Parser.get().base());
      if (Whole.Bytes - HeadSize->Bytes > Limits.MaxHeadBytes)
        return NetError::HeadTooLarge;
      FieldMemory = Whole.heldBytes();
    }
    if (!this->Connection->keep(Parser.get().body().size() + FieldMemory))
      return NetError::OutOfMemory;
    if (Parser.is_done())
      break;
    if (IsHeadNew && UnconsumedBytes > 0)
      continue;
    if (Parser.is_header_done() && !HasCheckedExpect) {
      HasCheckedExpect = true;
      if (Parser.get()[http::field::expect] == "100-continue")
        OnContinue();
    }
    // A head larger than the receive buffer would never become complete.
    if (!Parser.is_header_done() && UnconsumedBytes > Limits.MaxHeadBytes)
      return NetError::HeadTooLarge;
    // Neither would the line of a chunk.
    if (this->Connection->isFull())
      return NetError::Malformed;
    bool ConditionMet = this->Tasks.waitUntil(this->Changed, Deadline, [&] {
      return this->Connection->unread().size() > UnconsumedBytes ||
             this->Connection->hasEnded() || this->Connection->lacksMemory() ||
             IsCancelled();
    });
    if (this->Connection->unread().size() > UnconsumedBytes)
      continue;
    if (this->Connection->lacksMemory() && this->Connection->resumeReading())
      continue;
    if (this->Connection->lacksMemory())
      return NetError::OutOfMemory;
    if (ConditionMet && !this->Connection->hasEnded())
      return NetError::Cancelled;
    return ConditionMet ? this->Connection->endReason()
                        : make_error_code(NetError::TimedOut);
  }
  auto Message = Parser.release();
  HttpRequestMessage Out{toRequestHead(Message), std::move(Message.body())};
  return Out;
}

namespace {

/// \returns whether the body is as its sender means it once the framing is
/// removed: chunked is the only transfer coding that is removed, and HTTP/1.0
/// has none (RFC 9112, section 6.1).
bool hasKnownCoding(const http::response<detail::GrowingBody> &Message) {
  auto [First, End] =
      Message.base().equal_range(http::field::transfer_encoding);
  if (First == End)
    return true;
  return std::next(First) == End && Message.version() >= Http11 &&
         boost::beast::iequals(First->value(), "chunked");
}

/// Below TcpLimits::MaxUnread, so that an endless head exceeds this limit
/// before the connection pauses reading.
constexpr std::uint32_t MaxResponseHeadBytes = 32 * 1024;
/// Informational (1xx) responses skipped before the final response.
constexpr unsigned MaxInterimResponses = 16;

} // namespace

struct HttpResponseReader::State {
  std::optional<http::response_parser<detail::GrowingBody>> Parser;
  bool HasNoBody = false;
  bool HasFailed = false;

  void resetParser() {
    this->Parser.emplace();
    // Stops at the end of the head, whose fields the trailer's are added to.
    this->Parser->eager(false);
    this->Parser->header_limit(MaxResponseHeadBytes);
    this->Parser->body_limit(std::uint64_t{1} << 40);
    this->Parser->skip(this->HasNoBody);
  }
};

HttpResponseReader::HttpResponseReader(TcpConnection::Handle Connection,
                                       Runtime Tasks, Event &Changed,
                                       bool HasNoBody)
    : Connection(std::move(Connection)), Tasks(std::move(Tasks)),
      Changed(&Changed), ParseState(std::make_unique<State>()) {
  this->ParseState->HasNoBody = HasNoBody;
  this->ParseState->resetParser();
}

HttpResponseReader::~HttpResponseReader() = default;
HttpResponseReader::HttpResponseReader(HttpResponseReader &&) noexcept =
    default;

Result<void>
HttpResponseReader::advance(TimePoint Deadline,
                            const std::function<bool()> &IsCancelled) {
  auto &Parser = *this->ParseState->Parser;
  bool HadCompleteHead = Parser.is_header_done();
  for (;;) {
    std::string_view Bytes = this->Connection->unread();
    std::size_t UnconsumedBytes = Bytes.size();
    if (!Bytes.empty()) {
      boost::system::error_code Failure;
      std::size_t Consumed = detail::feed(Parser, Bytes, Failure);
      this->Connection->consume(Consumed);
      UnconsumedBytes -= Consumed;
      if (Failure && Failure != http::error::need_more) {
        this->ParseState->HasFailed = true;
        if (Failure == boost::system::errc::not_enough_memory)
          return NetError::OutOfMemory;
        return NetError::Malformed;
      }
    }
    Parser.eager(Parser.is_header_done());
    if (Parser.is_done() || (!HadCompleteHead && Parser.is_header_done()) ||
        !Parser.get().body().empty())
      return success();
    bool ConditionMet = this->Tasks.waitUntil(*this->Changed, Deadline, [&] {
      return this->Connection->unread().size() > UnconsumedBytes ||
             this->Connection->hasEnded() || IsCancelled() ||
             this->Connection->isFull() || this->Connection->lacksMemory();
    });
    if (this->Connection->unread().size() > UnconsumedBytes)
      continue;
    if (this->Connection->lacksMemory() && this->Connection->resumeReading())
      continue;
    this->ParseState->HasFailed = true;
    if (this->Connection->lacksMemory())
      return NetError::OutOfMemory;
    // A line of a chunk without end.
    if (this->Connection->isFull())
      return NetError::Malformed;
    if (this->Connection->hasEnded()) {
      boost::system::error_code Failure;
      // A server that did not read the whole request may have been cut off in
      // its response.
      if (Parser.is_header_done() && Parser.need_eof() &&
          this->Connection->hasEndedInOrder()) {
        detail::feedEnd(Parser, Failure);
        if (!Failure)
          return success();
      }
      return this->Connection->endReason();
    }
    return ConditionMet ? NetError::Cancelled : NetError::TimedOut;
  }
}

Result<HttpResponseHead>
HttpResponseReader::readHead(TimePoint Deadline,
                             const std::function<bool()> &IsCancelled) {
  for (unsigned Interim = 0; Interim <= MaxInterimResponses; ++Interim) {
    while (!this->ParseState->Parser->is_header_done()) {
      BOOST_OUTCOME_TRYV(this->advance(Deadline, IsCancelled));
    }
    const auto &Message = this->ParseState->Parser->get();
    if (isInterimStatus(Message.result_int())) {
      this->ParseState->resetParser();
      continue;
    }
    bool HasBody = !this->ParseState->Parser->is_done();
    if (!isFinalStatus(Message.result_int()) ||
        (HasBody && !hasKnownCoding(Message)))
      break;
    HttpResponseHead Head;
    Head.Status = Message.result_int();
    auto Reason = Message.reason();
    Head.Reason.assign(Reason.data(), Reason.size());
    Head.Headers = toHeaderList(Message.base());
    Head.KeepAlive = Message.keep_alive();
    Head.IsChunked = Message.chunked();
    if (auto Length = this->ParseState->Parser->content_length())
      Head.Length = *Length;
    return Head;
  }
  this->ParseState->HasFailed = true;
  return NetError::Malformed;
}

Result<BodyPiece>
HttpResponseReader::readBody(TimePoint Deadline,
                             const std::function<bool()> &IsCancelled) {
  auto &Parser = *this->ParseState->Parser;
  if (!Parser.is_done() && Parser.get().body().empty()) {
    BOOST_OUTCOME_TRYV(this->advance(Deadline, IsCancelled));
  }
  BodyPiece Piece;
  Piece.Bytes.swap(Parser.get().body());
  Piece.IsLast = Parser.is_done();
  Piece.EndsWithConnection = Piece.IsLast && Parser.need_eof();
  return Piece;
}

Result<std::string>
HttpResponseReader::readAll(std::size_t MaxBytes, TimePoint Deadline,
                            const std::function<bool()> &IsCancelled) {
  auto Body = this->readRest(MaxBytes, [&](std::size_t) {
    return this->readBody(Deadline, IsCancelled);
  });
  this->Connection->keep(0);
  return Body;
}

Result<std::string> HttpResponseReader::readAll(std::size_t MaxBytes,
                                                ProgressPolicy Progress) {
  ProgressDeadline Deadline(Progress, this->Tasks.Now());
  auto Body = this->readRest(MaxBytes, [&](std::size_t BytesSoFar) {
    Deadline.onBytes(BytesSoFar, this->Tasks.Now());
    const auto &Parser = *this->ParseState->Parser;
    bool HasArrived = this->Tasks.waitUntil(*this->Changed, Deadline.at(), [&] {
      return Parser.is_done() || !Parser.get().body().empty() ||
             !this->Connection->unread().empty() ||
             this->Connection->hasEnded() || this->Connection->lacksMemory();
    });
    // A task that runs late may see the timeout before the event loop has read.
    if (!HasArrived)
      this->Connection->readArrived();
    return this->readBody(Deadline.at(), neverCancelled);
  });
  this->Connection->keep(0);
  return Body;
}

Result<std::string> HttpResponseReader::readRest(
    std::size_t MaxBytes,
    const std::function<Result<BodyPiece>(std::size_t)> &ReadPiece) {
  std::string Out;
  for (;;) {
    BOOST_OUTCOME_TRY(Piece, ReadPiece(Out.size()));
    std::size_t Size = Out.size() + Piece.Bytes.size();
    if (Size > MaxBytes)
      return NetError::BodyTooLarge;
    if (!this->Connection->keep(Size))
      return NetError::OutOfMemory;
    Out += Piece.Bytes;
    if (Piece.IsLast)
      return Out;
  }
}

bool HttpResponseReader::canReuse() const {
  const auto &Parser = *this->ParseState->Parser;
  return !this->ParseState->HasFailed && Parser.is_done() &&
         Parser.get().keep_alive() && !this->Connection->hasEnded() &&
         this->Connection->unread().empty();
}

} // namespace bergamothook
