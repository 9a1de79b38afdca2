/// \file
/// Resolves a team through its templates and their parameters to one set of
/// settings, and tells where each value comes from.

#ifndef BERGAMOTHOOK_LIBCONFIG_TEMPLATERESOLVER_H
#define BERGAMOTHOOK_LIBCONFIG_TEMPLATERESOLVER_H

#include "LibConfig/ConfigProblem.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace bergamothook {

/// Gives the object of a name, or null. The pointer is good until the next
/// call of the same name with another content.
using ObjectLookup =
    std::function<const nlohmann::json *(const ObjectKey &Name)>;

/// Where a value comes from.
struct ValueSource {
  /// The object that states the value; nothing for a built-in default.
  std::optional<ObjectKey> Object;
  /// The place of the value in that object.
  std::string Pointer;
};

/// Whole settings, with the source of every leaf by its JSON pointer.
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
/// value. Settings merge over those of the template extended: objects field by
/// field, everything else whole. A template is resolved with the defaults of
/// its parameters; where it has none, the value stays at its built-in default.
ConfigResult<ResolvedSettings> resolveSettings(const ObjectKey &Name,
                                               const ObjectLookup &Lookup,
                                               bool WithSources);

/// The template that the object refers to directly; empty for none.
std::string templateOf(const ObjectKey &Name, const nlohmann::json &Value);

} // namespace bergamothook

#endif
