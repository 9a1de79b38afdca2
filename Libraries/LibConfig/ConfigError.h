/// \file
/// What can be wrong with a change of the configuration.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGERROR_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGERROR_H

#include <system_error>

namespace bergamothook {

enum class ConfigError {
  /// The record is no change of this format.
  Malformed = 1,
  /// The change is larger than a change may be.
  TooLarge,
  /// The change was checked under other rules than those in force.
  UnknownRules,
  /// The base revision is newer than the present one.
  UnknownBase,
  /// The base revision is too old for conflicts to be told.
  StaleBase,
  /// An object of the change was changed after the base revision.
  Conflict,
  /// A value is of the wrong type, or outside of its range.
  BadValue,
  /// There is no field of this name.
  UnknownField,
  /// A field that must be there is not.
  MissingField,
  /// The template named does not exist.
  UnknownTemplate,
  /// Templates extend one another too deeply, or in a circle.
  TemplateTooDeep,
  /// A parameter has neither an argument nor a default.
  MissingArgument,
  /// The parameter named is not declared.
  UnknownParameter,
  /// Two teams or operators have the same token.
  DuplicateToken,
  /// The object named does not exist.
  UnknownObject,
  /// The history that is needed is no longer kept.
  HistoryGone,
  /// The caller gave no token, or one that nobody has.
  NotAuthenticated,
  /// The operator does not have the role that is needed.
  NotPermitted,
  /// The append of a change had no certain effect before the deadline: the
  /// change may still be accepted.
  OutcomeUnknown,
  /// The configuration is not known well enough to serve by it.
  NotReady,
};

std::error_code make_error_code(ConfigError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::ConfigError> : std::true_type {};

#endif
