/// \file
/// Reads JSON settings files and validates them against a JSON Schema.

#ifndef BERGAMOTHOOK_LIBSETTINGS_SETTINGSFILE_H
#define BERGAMOTHOOK_LIBSETTINGS_SETTINGSFILE_H

#include "LibBase/Result.h"
#include "LibSettings/SettingsProblem.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bergamothook {

/// A value, or the problem for the operator to fix.
template <typename T>
using SettingsResult =
    boost::outcome_v2::basic_result<T, SettingsProblem,
                                    boost::outcome_v2::policy::all_narrow>;

/// Validates \p Text, the content of \p File, against the JSON Schema
/// \p Schema.
SettingsResult<nlohmann::json> checkSettingsText(const std::string &File,
                                                 std::string_view Text,
                                                 std::string_view Schema);

/// Reads and validates the file at \p File.
SettingsResult<nlohmann::json> readSettingsFile(const std::string &File,
                                                std::string_view Schema);

/// Reads a secret, such as a key, from a file of its own, without trailing
/// newlines. An empty secret is an error.
SettingsResult<std::string> readSecretFile(const std::string &File);

} // namespace bergamothook

#endif
