/// \file
/// What is wrong with a settings file.

#ifndef BERGAMOTHOOK_LIBSETTINGS_SETTINGSPROBLEM_H
#define BERGAMOTHOOK_LIBSETTINGS_SETTINGSPROBLEM_H

#include <string>
#include <system_error>

namespace bergamothook {

enum class SettingsError {
  /// The file can't be opened or read.
  Unreadable = 1,
  /// The file is not JSON.
  NotJson,
  /// A value breaks the schema: unknown key, wrong type, out of range.
  SchemaViolation,
  /// Each value is valid, and two of them contradict each other.
  Contradiction,
};

std::error_code make_error_code(SettingsError Value);

/// One problem, with all that is needed to mend it.
struct SettingsProblem {
  std::error_code Code;
  std::string File;
  /// The place in the file as a JSON pointer; empty for the whole file.
  std::string Pointer;
  std::string Found;
  std::string Allowed;

  /// One line for a person.
  std::string toText() const;
};

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::SettingsError> : std::true_type {};

#endif
