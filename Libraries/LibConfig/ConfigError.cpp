#include "LibConfig/ConfigError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(ConfigError Value) {
  switch (Value) {
  case ConfigError::Malformed:
    return "the record is not a change of the configuration";
  case ConfigError::TooLarge:
    return "the change is too large";
  case ConfigError::UnknownRules:
    return "the change was checked under rules that are not in force";
  case ConfigError::UnknownBase:
    return "the base revision does not exist yet";
  case ConfigError::StaleBase:
    return "the base revision is too old";
  case ConfigError::Conflict:
    return "the object was changed after the base revision";
  case ConfigError::BadValue:
    return "the value is not allowed";
  case ConfigError::UnknownField:
    return "there is no such field";
  case ConfigError::MissingField:
    return "the field is missing";
  case ConfigError::UnknownTemplate:
    return "the template does not exist";
  case ConfigError::TemplateTooDeep:
    return "templates extend one another too deeply or in a circle";
  case ConfigError::MissingArgument:
    return "the parameter has neither an argument nor a default";
  case ConfigError::UnknownParameter:
    return "the parameter is not declared";
  case ConfigError::DuplicateToken:
    return "the token belongs to another object";
  case ConfigError::UnknownObject:
    return "the object does not exist";
  case ConfigError::HistoryGone:
    return "the history needed is no longer kept";
  case ConfigError::NotAuthenticated:
    return "the caller is not known";
  case ConfigError::NotPermitted:
    return "the operator does not have the role needed";
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
