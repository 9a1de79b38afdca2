/// \file
/// A call of the HTTP client, shared by the task that made it and the client's
/// thread.

#ifndef BERGAMOTHOOK_LIBHTTP_TRANSFER_H
#define BERGAMOTHOOK_LIBHTTP_TRANSFER_H

#include "LibBase/Result.h"
#include "LibHttp/HttpCall.h"
#include "LibHttp/ResponseHead.h"
#include "LibTask/Runtime.h"

#include <curl/curl.h>
#include <mutex>
#include <optional>

namespace bergamothook::detail {

class Transfer {
public:
  explicit Transfer(HttpCall Call);
  ~Transfer();
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;

  // Called by the task.

  /// Waits for the status and the headers. At the deadline the transfer is
  /// abandoned: if the request was not sent yet, it never will be.
  Result<void> awaitHeaders(const Runtime &Tasks, TimePoint Deadline);

  /// Waits for bytes of the body. \returns nothing at its end. Sets
  /// \p MustResume if the transfer was paused because the buffer was full.
  Result<std::optional<std::string>> next(const Runtime &Tasks,
                                          TimePoint Deadline, bool &MustResume);

  /// Abandons the transfer. \returns whether the request may have been sent.
  bool abandon();

  int status() const { return this->Head.status(); }
  const HttpHeaders &headers() const { return this->Head.fields(); }
  const HttpCall &call() const { return this->Call; }

  // Called by the client's thread.

  CURL *easy() const { return this->Easy; }
  /// The transfer does not use the socket any more, which is still open.
  void onSocketReleased(curl_socket_t Socket);
  void finish(CURLcode Outcome);

private:
  static int beforeRequest(void *Self, char *, char *, int, int);
  static std::size_t onHeader(char *Bytes, std::size_t, std::size_t Length,
                              void *Self);
  static std::size_t onBody(char *Bytes, std::size_t, std::size_t Length,
                            void *Self);
  bool addHeaderLine(std::string_view Line);
  std::error_code errorOf(CURLcode Outcome) const;
  bool endsWithConnection() const;
  bool hasUpload() const;
  void configure();
  void configureRequest();

  HttpCall Call;
  CURL *Easy;
  curl_slist *HeaderLines = nullptr;

  std::mutex Lock;
  Event Changed;
  bool MayBeSent = false;
  bool IsAbandoned = false;
  bool IsPaused = false;
  bool IsDone = false;
  std::error_code Failure;
  ResponseHead Head;
  bool IsHeadMalformed = false;
  /// The server had received the whole request when the transfer ended.
  bool WasReceived = false;
  std::string Buffer;
};

} // namespace bergamothook::detail

#endif
