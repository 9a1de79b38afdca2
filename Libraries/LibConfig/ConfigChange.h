/// \file
/// A configuration change, as published by operators and stored in the stream
/// "config" of the log.

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

/// The version of the validation rules of this release. All hosts must reject
/// the same changes, so a release with different rules increments this number.
constexpr std::uint32_t ConfigRules = 1;

constexpr std::size_t MaxChangeBytes = 512 * 1024;
constexpr std::size_t MaxEditsPerChange = 2000;

/// Replaces or removes one object.
struct ConfigEdit {
  ObjectKey Object;
  /// The complete new object; nothing to remove the object.
  std::optional<nlohmann::json> Value;
};

/// A set of edits that is applied atomically.
struct ConfigChange {
  /// Chosen once by the publisher, and unchanged across retries.
  RecordId Id;
  std::uint32_t Rules = ConfigRules;
  /// The revision that the change is based on.
  Revision Base;
  std::string Author;
  WallTime Time{};
  std::string Comment;
  std::vector<ConfigEdit> Edits;
};

/// Encodes \p Change as the body of a record.
std::string encodeChange(const ConfigChange &Change);

/// Decodes the body of the record \p Id.
ConfigResult<ConfigChange> decodeChange(RecordId Id, std::string_view Body);

/// Creates the log record of \p Change.
StreamRecord recordOfChange(const ConfigChange &Change, Incarnation Writer);

/// Parses an operator's file of edits: a JSON object whose keys are names in
/// the format of toString(ObjectKey), and whose values are complete objects, or
/// null to remove an object.
ConfigResult<std::vector<ConfigEdit>> parseEdits(std::string_view Text);

/// Parses JSON without exceptions. \returns nothing if \p Text is invalid or
/// nested too deeply.
std::optional<nlohmann::json> parseBoundedJson(std::string_view Text);

} // namespace bergamothook

#endif
