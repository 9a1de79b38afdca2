/// \file
/// The injectable faults of a stand-in by name, set and listed as JSON.

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_FAULTTABLE_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_FAULTTABLE_H

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace bergamothook {

enum class FaultError {
  /// The stand-in has no fault of this name.
  UnknownFault = 1,
  /// The value has the wrong type or is below 0.
  BadValue,
};

std::error_code make_error_code(FaultError Value);

/// Maps fault names to variables of a stand-in, which must outlive the table.
class FaultTable {
public:
  void addFlag(const std::string &Name, bool &Value);
  void addNumber(const std::string &Name, double &Value);
  /// The number of further calls that the fault affects.
  void addCount(const std::string &Name, std::uint32_t &Value);
  void addText(const std::string &Name, std::string &Value);
  /// A time in milliseconds.
  void addTime(const std::string &Name, Duration &Value);
  /// An action that runs each time the fault is set to true.
  void addAction(const std::string &Name, std::function<void()> Action);

  /// Sets all faults in \p Faults, or none of them if any is unknown or has an
  /// invalid value.
  Result<void> apply(const nlohmann::json &Faults);

  nlohmann::json show() const;

private:
  struct Entry {
    std::function<bool(const nlohmann::json &)> IsValid;
    std::function<void(const nlohmann::json &)> Set;
    std::function<nlohmann::json()> Get;
  };

  Result<void> check(const nlohmann::json &Faults) const;

  std::map<std::string, Entry> Entries;
};

/// Decrements \p Count unless it is 0. \returns whether the fault applies to
/// this call.
bool consumeOne(std::uint32_t &Count);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::FaultError> : std::true_type {};

#endif
