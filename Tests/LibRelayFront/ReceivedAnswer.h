/// \file
/// Checks the bytes that a caller received against what the targets sent.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAYFRONT_RECEIVEDANSWER_H
#define BERGAMOTHOOK_TESTS_LIBRELAYFRONT_RECEIVEDANSWER_H

#include "AnswerHost.h"

namespace bergamothook {

/// The first answer in the bytes that a caller received, split strictly.
struct ReceivedAnswer {
  std::string Head;
  unsigned Status = 0;
  std::string Stamp;
  std::string Body;
  bool IsWhole = false;
  bool IsMalformed = false;
  /// What follows the answer.
  std::string Rest;
};

ReceivedAnswer split(const PlayedExchange &Played);

/// \returns what is wrong with the bytes; empty if they are a whole answer of
/// one target, or a refusal, or an answer that is visibly broken off.
std::string findFault(const PlayedExchange &Played);

std::string describe(const PlayedExchange &Played);

} // namespace bergamothook

#endif
