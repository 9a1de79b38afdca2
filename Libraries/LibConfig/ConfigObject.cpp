#include "LibConfig/ConfigObject.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace bergamothook {

namespace {

constexpr std::size_t MaxNameLength = 64;

constexpr std::array<std::string_view, 4> KindNames = {"template", "team",
                                                       "service", "operator"};

bool isNameCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) ||
         Character == '.' || Character == '_' || Character == '-';
}

} // namespace

std::string toString(const ObjectKey &Key) {
  std::string Text(KindNames[static_cast<std::size_t>(Key.Kind)]);
  return Text + "/" + Key.Name;
}

std::optional<ObjectKey> parseObjectKey(std::string_view Text) {
  std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  const auto *Kind =
      std::find(KindNames.begin(), KindNames.end(), Text.substr(0, Slash));
  std::string_view Name = Text.substr(Slash + 1);
  bool IsName = !Name.empty() && Name.size() <= MaxNameLength &&
                std::all_of(Name.begin(), Name.end(), isNameCharacter);
  if (Kind == KindNames.end() || !IsName)
    return std::nullopt;
  return ObjectKey{static_cast<ObjectKind>(Kind - KindNames.begin()),
                   std::string(Name)};
}

} // namespace bergamothook
