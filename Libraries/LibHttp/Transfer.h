/// \file
/// One call of the HTTP client, shared by the task that made it and by the
/// client's thread.

#ifndef BERGAMOTHOOK_LIBHTTP_TRANSFER_H
#define BERGAMOTHOOK_LIBHTTP_TRANSFER_H

#include "LibBase/Result.h"
#include "LibHttp/HttpCall.h"
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
  /// abandoned: nothing of it is sent afterwards.
  Result<void> awaitHeaders(const Runtime &Tasks, TimePoint Deadline);

  /// Waits for bytes of the body; nothing at its end. Sets \p Resumes when the
  /// transfer was paused since nobody read.
  Result<std::optional<std::string>> next(const Runtime &Tasks,
                                          TimePoint Deadline, bool &Resumes);

  /// Gives the transfer up. \returns whether the request may have been sent.
  bool abandon();

  int status() const { return this->Status; }
  const HttpHeaders &headers() const { return this->Headers; }
  const HttpCall &call() const { return this->Call; }

  // Called by the client's thread.

  CURL *easy() const { return this->Easy; }
  void finish(CURLcode Outcome);

private:
  static int beforeRequest(void *Self, char *, char *, int, int);
  static std::size_t takeHeader(char *Bytes, std::size_t, std::size_t Length,
                                void *Self);
  static std::size_t takeBody(char *Bytes, std::size_t, std::size_t Length,
                              void *Self);
  void addHeaderLine(std::string_view Line);
  std::error_code errorOf(CURLcode Outcome) const;
  void configure();
  void configureRequest();

  HttpCall Call;
  CURL *Easy;
  curl_slist *HeaderLines = nullptr;

  std::mutex Lock;
  Event Changed;
  bool MayBeSent = false;
  bool IsAbandoned = false;
  bool HasHeaders = false;
  bool IsPaused = false;
  bool IsDone = false;
  std::error_code Failure;
  int Status = 0;
  HttpHeaders Headers;
  std::string Unread;
};

} // namespace bergamothook::detail

#endif
