/// \file
/// Errors of settings files.

#ifndef BERGAMOTHOOK_LIBSETTINGS_SETTINGSPROBLEM_H
#define BERGAMOTHOOK_LIBSETTINGS_SETTINGSPROBLEM_H

#include <string>
#include <system_error>

namespace bergamothook {

enum class SettingsError {
  /// The file cannot be opened or read.
  Unreadable = 1,
  /// The file is not JSON.
  NotJson,
  /// A value violates the schema: unknown key, wrong type or out of range.
  SchemaViolation,
  /// Two values are each valid but contradict each other.
  Contradiction,
};

std::error_code make_error_code(SettingsError Value);

/// One problem, with all details needed to fix it.
struct SettingsProblem {
  std::error_code Code;
  std::string File;
  /// The JSON pointer of the value; empty for the whole file.
  std::string Pointer;
  std::string Found;
  std::string Allowed;

  /// Formats the problem as one line for an operator.
  std::string toText() const;
};

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::SettingsError> : std::true_type {};

#endif
