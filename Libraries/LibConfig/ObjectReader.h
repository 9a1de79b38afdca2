/// \file
/// Reads the fields of a JSON object and reports the first problem found.

#ifndef BERGAMOTHOOK_LIBCONFIG_OBJECTREADER_H
#define BERGAMOTHOOK_LIBCONFIG_OBJECTREADER_H

#include "LibBase/Time.h"
#include "LibConfig/ConfigProblem.h"
#include "LibConfig/Sha256.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace bergamothook::detail {

/// The first problem of one object, shared by the readers of its nested values.
struct ReadState {
  ObjectKey Object;
  std::optional<ConfigProblem> Problem;

  void fail(ConfigError Error, std::string Pointer, std::string Found,
            std::string Allowed);
};

/// Reads one JSON object. After a problem every further call gives an empty
/// value, so that the caller looks at the state once, at the end.
class ObjectReader {
public:
  ObjectReader(ReadState &State, const nlohmann::json &Value,
               std::string Pointer);

  /// The range is inclusive.
  std::int64_t integer(const char *Field, std::int64_t Min, std::int64_t Max);
  Duration milliseconds(const char *Field, Duration Min, Duration Max);
  bool boolean(const char *Field);
  std::string text(const char *Field, std::size_t MaxBytes);
  std::string textOr(const char *Field, std::size_t MaxBytes,
                     std::string Default);
  std::vector<std::string> texts(const char *Field, std::size_t MaxEntries,
                                 std::size_t MaxBytes);
  /// Hashes in hexadecimal digits; empty if the field is missing.
  std::vector<Sha256> hashes(const char *Field, std::size_t MaxEntries);
  ObjectReader object(const char *Field);
  /// An array of objects; empty if the field is missing.
  std::vector<ObjectReader> objects(const char *Field, std::size_t MaxEntries);
  /// An arbitrary object; empty if the field is missing.
  nlohmann::json rawObject(const char *Field);
  bool has(const char *Field) const;

  /// Reports fields that were not read as unknown.
  void finish();

private:
  const nlohmann::json *find(const char *Field, bool IsRequired,
                             const char *Allowed);
  std::string pointerTo(const char *Field) const;

  ReadState *State;
  const nlohmann::json *Value;
  std::string Pointer;
  std::vector<std::string> ReadFields;
};

} // namespace bergamothook::detail

#endif
