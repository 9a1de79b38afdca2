/// \file
/// Turns resolved JSON into the typed objects that are in force.

#ifndef BERGAMOTHOOK_LIBCONFIG_TEAMREADER_H
#define BERGAMOTHOOK_LIBCONFIG_TEAMREADER_H

#include "LibConfig/ConfigProblem.h"
#include "LibConfig/EffectiveService.h"
#include "LibConfig/EffectiveTeam.h"

#include <nlohmann/json.hpp>

namespace bergamothook::detail {

/// The settings of a team whose templates set nothing.
const nlohmann::json &defaultSettings();

/// Reads whole, resolved settings into a team without identity and keys.
ConfigResult<EffectiveTeam> readSettings(const ObjectKey &Object,
                                         const nlohmann::json &Settings);

/// Reads a whole object of the kind Service.
ConfigResult<EffectiveService> readService(const ObjectKey &Object,
                                           const nlohmann::json &Value);

/// Reads a whole object of the kind Operator.
ConfigResult<EffectiveOperator> readOperator(const ObjectKey &Object,
                                             const nlohmann::json &Value);

} // namespace bergamothook::detail

#endif
