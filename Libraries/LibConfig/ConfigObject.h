/// \file
/// The names of the objects that the configuration consists of.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGOBJECT_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGOBJECT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamothook {

enum class ObjectKind : std::uint8_t { Template, Team, Service, Operator };

/// Names one object.
struct ObjectKey {
  ObjectKind Kind = ObjectKind::Template;
  std::string Name;

  auto operator<=>(const ObjectKey &) const = default;
};

/// Writes \p Key as "kind/name", for example "team/parks".
std::string toString(const ObjectKey &Key);

/// Reads what toString() wrote. A name has 1 to 64 letters, digits, dots,
/// underscores and hyphens.
std::optional<ObjectKey> parseObjectKey(std::string_view Text);

} // namespace bergamothook

#endif
