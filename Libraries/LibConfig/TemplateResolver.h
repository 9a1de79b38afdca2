/// \file
/// Resolves a team, its templates and their parameters to one set of settings,
/// and records the source of each value.

#ifndef BERGAMOTHOOK_LIBCONFIG_TEMPLATERESOLVER_H
#define BERGAMOTHOOK_LIBCONFIG_TEMPLATERESOLVER_H

#include "LibConfig/ConfigProblem.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace bergamothook {

/// \returns the object of a name, or null. The pointer is valid until the next
/// call for the same name with other content.
using ObjectLookup =
    std::function<const nlohmann::json *(const ObjectKey &Name)>;

/// The source of a value.
struct ValueSource {
  /// The object that sets the value; nothing for a built-in default.
  std::optional<ObjectKey> Object;
  /// The JSON pointer of the value in that object.
  std::string Pointer;
};

/// Complete settings, with the source of every leaf by its JSON pointer.
struct ResolvedSettings {
  nlohmann::json Settings;
  std::map<std::string, ValueSource> Sources;
};

/// Resolves the object \p Name, which is a team or a template.
///
/// A template is {"extends": NAME, "arguments": {...}, "parameters":
/// {NAME: DEFAULT or null}, "settings": {...}}; a team is {"template": NAME,
/// "arguments": {...}, "settings": {...}, "keys": [...]}. Anywhere in arguments
/// and settings of a template {"$param": NAME} stands for the parameter's
/// value. Settings override those of the extended template: objects are merged
/// field by field, other values are replaced. A template is resolved with the
/// defaults of its parameters; a value whose parameter has no default keeps its
/// built-in default.
ConfigResult<ResolvedSettings> resolveSettings(const ObjectKey &Name,
                                               const ObjectLookup &Lookup,
                                               bool WithSources);

/// The template that the object references directly; empty for none.
std::string templateOf(const ObjectKey &Name, const nlohmann::json &Value);

} // namespace bergamothook

#endif
