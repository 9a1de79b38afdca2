/// \file
/// The text of generated tokens: fixed by the request and the token's place,
/// so that a test can tell a whole answer from one with a gap, a repeat or
/// tokens of another request.

#ifndef BERGAMOTHOOK_LIBSTANDIN_TOKENTEXT_H
#define BERGAMOTHOOK_LIBSTANDIN_TOKENTEXT_H

#include "LibBase/Ids.h"

#include <string>
#include <string_view>

namespace bergamothook {

/// The text of the token \p Index of the answer to \p Request.
std::string tokenText(RequestId Request, std::uint32_t Index);

/// The text of the tokens from \p First up to, and without, \p End.
std::string tokensText(RequestId Request, std::uint32_t First,
                       std::uint32_t End);

/// The tokens that the stand-in engine counts in a prompt: one for each four
/// bytes begun.
std::uint32_t countPromptTokens(std::string_view Prompt);

/// The tokens that an answer to \p Prompt has where nothing cuts it short. A
/// prompt may ask for a number by "[tokens=N]".
std::uint32_t naturalResponseTokens(std::string_view Prompt);

} // namespace bergamothook

#endif
