/// \file
/// The faults of a stand-in by name, set and shown as JSON.

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

/// Names the values of one stand-in, which must outlive the table.
class FaultTable {
public:
  void addFlag(const std::string &Name, bool &Value);
  void addNumber(const std::string &Name, double &Value);
  /// A number of calls that the fault still hits.
  void addCount(const std::string &Name, std::uint32_t &Value);
  void addText(const std::string &Name, std::string &Value);
  /// A time in milliseconds.
  void addTime(const std::string &Name, Duration &Value);
  /// Something that happens once, each time that it is set to true.
  void addAction(const std::string &Name, std::function<void()> Action);

  /// Sets every fault that \p Faults names, or none where one of them is
  /// unknown or has a bad value.
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

/// Counts one call against \p Count. \returns whether the fault hits it.
bool takeOne(std::uint32_t &Count);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::FaultError> : std::true_type {};

#endif
