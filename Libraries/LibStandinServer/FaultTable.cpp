#include "LibStandinServer/FaultTable.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(FaultError Value) {
  switch (Value) {
  case FaultError::UnknownFault:
    return "the stand-in has no fault of this name";
  case FaultError::BadValue:
    return "the fault does not take this value";
  }
  return "unknown fault error";
}

const ErrorCategory<FaultError> &category() {
  static const ErrorCategory<FaultError> Category("fault", describe);
  return Category;
}

bool isFlag(const nlohmann::json &Value) { return Value.is_boolean(); }
bool isText(const nlohmann::json &Value) { return Value.is_string(); }
bool isCount(const nlohmann::json &Value) {
  return Value.is_number_unsigned() &&
         Value <= std::numeric_limits<std::uint32_t>::max();
}
bool isNonNegative(const nlohmann::json &Value) {
  return Value.is_number() && Value >= 0;
}

double toMilliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

Duration fromMilliseconds(double Count) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Count));
}

} // namespace

std::error_code make_error_code(FaultError Value) {
  return {static_cast<int>(Value), category()};
}

void FaultTable::addFlag(const std::string &Name, bool &Value) {
  this->Entries[Name] = {
      isFlag, [&](const nlohmann::json &New) { Value = New.get<bool>(); },
      [&] { return nlohmann::json(Value); }};
}

void FaultTable::addNumber(const std::string &Name, double &Value) {
  this->Entries[Name] = {
      isNonNegative,
      [&](const nlohmann::json &New) { Value = New.get<double>(); },
      [&] { return nlohmann::json(Value); }};
}

void FaultTable::addCount(const std::string &Name, std::uint32_t &Value) {
  this->Entries[Name] = {
      isCount,
      [&](const nlohmann::json &New) { Value = New.get<std::uint32_t>(); },
      [&] { return nlohmann::json(Value); }};
}

void FaultTable::addText(const std::string &Name, std::string &Value) {
  this->Entries[Name] = {
      isText,
      [&](const nlohmann::json &New) { Value = New.get<std::string>(); },
      [&] { return nlohmann::json(Value); }};
}

void FaultTable::addTime(const std::string &Name, Duration &Value) {
  this->Entries[Name] = {isNonNegative,
                         [&](const nlohmann::json &New) {
                           Value = fromMilliseconds(New.get<double>());
                         },
                         [&] { return nlohmann::json(toMilliseconds(Value)); }};
}

void FaultTable::addAction(const std::string &Name,
                           std::function<void()> Action) {
  auto RunIfTrue = [Action = std::move(Action)](const nlohmann::json &New) {
    if (New.get<bool>())
      Action();
  };
  this->Entries[Name] = {isFlag, RunIfTrue,
                         [] { return nlohmann::json(false); }};
}

Result<void> FaultTable::check(const nlohmann::json &Faults) const {
  if (!Faults.is_object())
    return FaultError::BadValue;
  for (const auto &[Name, Value] : Faults.items()) {
    auto Found = this->Entries.find(Name);
    if (Found == this->Entries.end())
      return FaultError::UnknownFault;
    if (!Found->second.IsValid(Value))
      return FaultError::BadValue;
  }
  return success();
}

Result<void> FaultTable::apply(const nlohmann::json &Faults) {
  BOOST_OUTCOME_TRY(this->check(Faults));
  for (const auto &[Name, Value] : Faults.items())
    this->Entries.at(Name).Set(Value);
  return success();
}

nlohmann::json FaultTable::show() const {
  auto Shown = nlohmann::json::object();
  for (const auto &[Name, Fault] : this->Entries)
    Shown[Name] = Fault.Get();
  return Shown;
}

bool consumeOne(std::uint32_t &Count) {
  if (Count == 0)
    return false;
  --Count;
  return true;
}

} // namespace bergamothook
