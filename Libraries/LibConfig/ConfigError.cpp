#include "LibConfig/ConfigError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(ConfigError Value) {
  switch (Value) {
  case ConfigError::Malformed:
    return "the record is not a valid configuration change";
  case ConfigError::TooLarge:
    return "the change is too large";
  case ConfigError::UnknownRules:
    return "the change was validated under another version of the rules";
  case ConfigError::UnknownBase:
    return "the base revision does not exist yet";
  case ConfigError::StaleBase:
    return "the base revision is too old";
  case ConfigError::Conflict:
    return "the object was changed after the base revision";
  case ConfigError::BadValue:
    return "the value is not allowed";
  case ConfigError::UnknownField:
    return "the field does not exist";
  case ConfigError::MissingField:
    return "the field is missing";
  case ConfigError::UnknownTemplate:
    return "the template does not exist";
  case ConfigError::TemplateTooDeep:
    return "the template inheritance is too deep or cyclic";
  case ConfigError::MissingArgument:
    return "the parameter has neither an argument nor a default";
  case ConfigError::UnknownParameter:
    return "the parameter is not declared";
  case ConfigError::DuplicateToken:
    return "the token belongs to another object";
  case ConfigError::UnknownObject:
    return "the object does not exist";
  case ConfigError::HistoryExpired:
    return "the required history is no longer retained";
  case ConfigError::NotAuthenticated:
    return "the caller is not authenticated";
  case ConfigError::NotPermitted:
    return "the operator does not have the required role";
  case ConfigError::OutcomeUnknown:
    return "the change may or may not be accepted";
  case ConfigError::NotReady:
    return "the configuration is not known yet";
  }
  return "unknown configuration error";
}

const ErrorCategory<ConfigError> &category() {
  static const ErrorCategory<ConfigError> Category("config", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(ConfigError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook
