/// \file
/// Reads the fields of a JSON object, and says precisely what is wrong.

#ifndef BERGAMOTHOOK_LIBCONFIG_OBJECTREADER_H
#define BERGAMOTHOOK_LIBCONFIG_OBJECTREADER_H

#include "LibBase/Time.h"
#include "LibConfig/ConfigProblem.h"
#include "LibConfig/Sha256.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace bergamothook::detail {

/// The first problem of one object, shared by the readers of its parts.
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
  std::int64_t integer(const char *Field, std::int64_t Least,
                       std::int64_t Most);
  Duration milliseconds(const char *Field, Duration Least, Duration Most);
  bool boolean(const char *Field);
  std::string text(const char *Field, std::size_t MostBytes);
  std::string textOr(const char *Field, std::size_t MostBytes,
                     std::string Default);
  std::vector<std::string> texts(const char *Field, std::size_t MostEntries,
                                 std::size_t MostBytes);
  /// Hashes in hexadecimal digits; none where the field is missing.
  std::vector<Sha256> hashes(const char *Field, std::size_t MostEntries);
  ObjectReader object(const char *Field);
  /// An array of objects; none where the field is missing.
  std::vector<ObjectReader> objects(const char *Field, std::size_t MostEntries);
  /// Any object; an empty one where the field is missing.
  nlohmann::json rawObject(const char *Field);
  bool has(const char *Field) const;

  /// Refuses fields that were never asked for.
  void finish();

private:
  const nlohmann::json *find(const char *Field, bool IsNeeded,
                             const char *Allowed);
  std::string pointerTo(const char *Field) const;

  ReadState *State;
  const nlohmann::json *Value;
  std::string Pointer;
  std::vector<std::string> Asked;
};

} // namespace bergamothook::detail

#endif
