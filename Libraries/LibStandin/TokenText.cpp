#include "LibStandin/TokenText.h"

#include <algorithm>
#include <charconv>

namespace bergamothook {

namespace {

constexpr std::size_t BytesPerPromptToken = 4;
constexpr std::uint32_t MinResponseTokens = 16;
constexpr std::uint32_t ResponseTokensRange = 112;
constexpr std::size_t TokenHexDigits = 6;
constexpr std::string_view LengthMarker = "[tokens=";

} // namespace

std::string tokenText(RequestId Request, std::uint32_t Index) {
  std::uint64_t Value = hash64(toHex(Request), Index);
  return toHex(Value).substr(0, TokenHexDigits) + " ";
}

std::string tokensText(RequestId Request, std::uint32_t First,
                       std::uint32_t End) {
  std::string Text;
  for (std::uint32_t Index = First; Index < End; ++Index)
    Text += tokenText(Request, Index);
  return Text;
}

std::uint32_t countPromptTokens(std::string_view Prompt) {
  std::size_t Tokens =
      (Prompt.size() + BytesPerPromptToken - 1) / BytesPerPromptToken;
  return static_cast<std::uint32_t>(std::max<std::size_t>(Tokens, 1));
}

std::uint32_t naturalResponseTokens(std::string_view Prompt) {
  std::size_t Marker = Prompt.find(LengthMarker);
  if (Marker != std::string_view::npos) {
    std::string_view Digits = Prompt.substr(Marker + LengthMarker.size());
    std::uint32_t Tokens = 0;
    std::from_chars(Digits.data(), Digits.data() + Digits.size(), Tokens);
    return std::max<std::uint32_t>(Tokens, 1);
  }
  return MinResponseTokens +
         static_cast<std::uint32_t>(hash64(Prompt) % ResponseTokensRange);
}

} // namespace bergamothook
