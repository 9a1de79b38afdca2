/// \file
/// The names of configuration objects.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGOBJECT_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGOBJECT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamothook {

enum class ObjectKind : std::uint8_t { Template, Team, Service, Operator };

/// Identifies one object.
struct ObjectKey {
  ObjectKind Kind = ObjectKind::Template;
  std::string Name;

  auto operator<=>(const ObjectKey &) const = default;
};

/// Formats \p Key as "kind/name", for example "team/parks".
std::string toString(const ObjectKey &Key);

/// Parses the output of toString(). A name has 1 to 64 letters, digits, dots,
/// underscores and hyphens.
std::optional<ObjectKey> parseObjectKey(std::string_view Text);

} // namespace bergamothook

#endif
