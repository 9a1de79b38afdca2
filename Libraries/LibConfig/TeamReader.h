/// \file
/// Converts resolved JSON to typed objects.

#ifndef BERGAMOTHOOK_LIBCONFIG_TEAMREADER_H
#define BERGAMOTHOOK_LIBCONFIG_TEAMREADER_H

#include "LibConfig/ConfigProblem.h"
#include "LibConfig/EffectiveService.h"
#include "LibConfig/EffectiveTeam.h"

#include <nlohmann/json.hpp>

namespace bergamothook::detail {

/// The built-in default settings of a team.
const nlohmann::json &defaultSettings();

/// Converts complete, resolved settings to a team without identity and
/// keys.
ConfigResult<EffectiveTeam> readSettings(const ObjectKey &Object,
                                         const nlohmann::json &Settings);

/// Converts an object of the kind Service.
ConfigResult<EffectiveService> readService(const ObjectKey &Object,
                                           const nlohmann::json &Value);

/// Converts an object of the kind Operator.
ConfigResult<EffectiveOperator> readOperator(const ObjectKey &Object,
                                             const nlohmann::json &Value);

} // namespace bergamothook::detail

#endif
