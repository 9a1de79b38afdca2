/// \file
/// The text of generated tokens, derived from the request and the token index,
/// so that a test can detect gaps, repeats and tokens of another request in a
/// response.

#ifndef BERGAMOTHOOK_LIBSTANDIN_TOKENTEXT_H
#define BERGAMOTHOOK_LIBSTANDIN_TOKENTEXT_H

#include "LibBase/Ids.h"

#include <string>
#include <string_view>

namespace bergamothook {

/// The text of token \p Index of the response to \p Request.
std::string tokenText(RequestId Request, std::uint32_t Index);

/// The text of the tokens in the range [\p First, \p End).
std::string tokensText(RequestId Request, std::uint32_t First,
                       std::uint32_t End);

/// The token count of a prompt: one per four bytes, rounded up, at least one.
std::uint32_t countPromptTokens(std::string_view Prompt);

/// The length in tokens of the response to \p Prompt if nothing truncates it. A
/// prompt can set it with "[tokens=N]".
std::uint32_t naturalResponseTokens(std::string_view Prompt);

} // namespace bergamothook

#endif
