#include "LibSettings/SettingsProblem.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(SettingsError Value) {
  switch (Value) {
  case SettingsError::Unreadable:
    return "the file cannot be read";
  case SettingsError::NotJson:
    return "the file is not JSON";
  case SettingsError::SchemaViolation:
    return "a value is not allowed";
  case SettingsError::Contradiction:
    return "two values contradict each other";
  }
  return "unknown settings error";
}

const ErrorCategory<SettingsError> &category() {
  static const ErrorCategory<SettingsError> Category("settings", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(SettingsError Value) {
  return {static_cast<int>(Value), category()};
}

std::string SettingsProblem::toText() const {
  std::string Text = this->File + ": " + this->Code.message();
  if (!this->Pointer.empty())
    Text += " at " + this->Pointer;
  if (!this->Found.empty())
    Text += ": found " + this->Found;
  if (!this->Allowed.empty())
    Text += "; allowed: " + this->Allowed;
  return Text;
}

} // namespace bergamothook
