/// \file
/// A change of the configuration, as operators publish it and as it stands on
/// the stream "config" of the log.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGCHANGE_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGCHANGE_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibConfig/ConfigProblem.h"
#include "LibStream/StreamRecord.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

/// The stream of the log that holds the changes.
inline const std::string ConfigStream = "config";

/// The kind of a StreamRecord that holds a change.
constexpr std::uint16_t ConfigChangeKind = 1;

/// The rules by which this release checks a change. Every host must refuse the
/// same changes, so that a release with other rules raises this number.
constexpr std::uint32_t ConfigRules = 1;

constexpr std::size_t MaxChangeBytes = 512 * 1024;
constexpr std::size_t MaxEditsPerChange = 2000;

/// Puts or removes one object.
struct ConfigEdit {
  ObjectKey Object;
  /// The whole new object; nothing removes it.
  std::optional<nlohmann::json> Value;
};

/// Edits of many objects that are accepted all together or not at all.
struct ConfigChange {
  /// Chosen once by the publisher, and kept over every retry.
  RecordId Id;
  std::uint32_t Rules = ConfigRules;
  /// The revision that the publisher looked at.
  Revision Base;
  std::string Author;
  WallTime Time{};
  std::string Comment;
  std::vector<ConfigEdit> Edits;
};

/// Writes \p Change as the body of a record.
std::string encodeChange(const ConfigChange &Change);

/// Reads the body of the record \p Id.
ConfigResult<ConfigChange> decodeChange(RecordId Id, std::string_view Body);

/// Makes the record that carries \p Change to the log.
StreamRecord recordOfChange(const ConfigChange &Change, Incarnation Writer);

/// Reads the edits of a file of an operator: an object whose keys are names as
/// toString(ObjectKey) writes them, and whose values are whole objects, or null
/// for an object to remove.
ConfigResult<std::vector<ConfigEdit>> parseEdits(std::string_view Text);

/// Parses JSON text without exceptions; text that nests too deeply is refused.
std::optional<nlohmann::json> parseBoundedJson(std::string_view Text);

} // namespace bergamothook

#endif
