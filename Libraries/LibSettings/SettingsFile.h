/// \file
/// Reads a JSON settings file and checks it against a JSON Schema.

#ifndef BERGAMOTHOOK_LIBSETTINGS_SETTINGSFILE_H
#define BERGAMOTHOOK_LIBSETTINGS_SETTINGSFILE_H

#include "LibBase/Result.h"
#include "LibSettings/SettingsProblem.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bergamothook {

/// A value, or the problem that a person has to mend.
template <typename T>
using SettingsResult =
    boost::outcome_v2::basic_result<T, SettingsProblem,
                                    boost::outcome_v2::policy::all_narrow>;

/// Checks \p Text, the content of \p File, against the JSON Schema \p Schema.
SettingsResult<nlohmann::json> checkSettingsText(const std::string &File,
                                                 std::string_view Text,
                                                 std::string_view Schema);

/// Reads and checks the file at \p File.
SettingsResult<nlohmann::json> readSettingsFile(const std::string &File,
                                                std::string_view Schema);

/// Reads a secret, such as a key, from its own file. A newline at the end is
/// no part of it.
SettingsResult<std::string> readSecretFile(const std::string &File);

} // namespace bergamothook

#endif
