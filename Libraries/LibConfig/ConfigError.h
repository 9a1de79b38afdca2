/// \file
/// Errors of the configuration.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGERROR_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGERROR_H

#include <system_error>

namespace bergamothook {

enum class ConfigError {
  /// The record is not a valid configuration change.
  Malformed = 1,
  /// The change exceeds the size limit.
  TooLarge,
  /// The change was validated under another version of the rules.
  UnknownRules,
  /// The base revision is newer than the current one.
  UnknownBase,
  /// The base revision is too old to detect conflicts.
  StaleBase,
  /// An object of the change was changed after the base revision.
  Conflict,
  /// A value has the wrong type or is out of range.
  BadValue,
  /// The field does not exist.
  UnknownField,
  /// A required field is missing.
  MissingField,
  /// The referenced template does not exist.
  UnknownTemplate,
  /// The template inheritance is too deep or cyclic.
  TemplateTooDeep,
  /// A parameter has neither an argument nor a default.
  MissingArgument,
  /// The referenced parameter is not declared.
  UnknownParameter,
  /// Two teams or operators have the same token.
  DuplicateToken,
  /// The named object does not exist.
  UnknownObject,
  /// The required history is no longer retained.
  HistoryExpired,
  /// The token of the caller is missing or unknown.
  NotAuthenticated,
  /// The operator does not have the required role.
  NotPermitted,
  /// The outcome of the append is unknown at the deadline; the change may still
  /// be accepted.
  OutcomeUnknown,
  /// The configuration is not up to date enough to serve requests.
  NotReady,
};

std::error_code make_error_code(ConfigError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::ConfigError> : std::true_type {};

#endif
