/// \file
/// How commands read the configuration from the log and publish changes of it.

#ifndef BERGAMOTHOOK_UTILITIES_CTL_CONFIGREADING_H
#define BERGAMOTHOOK_UTILITIES_CTL_CONFIGREADING_H

#include "Command.h"
#include "LibConfig/ConfigFold.h"
#include "LibConfig/TemplateResolver.h"

#include <optional>

namespace bergamothook {

/// The configuration as the log tells it up to an offset.
struct PublishedConfig {
  ConfigFold Fold;
  Offset Next;
};

/// Reads the whole configuration. Nothing, with a message, when the log can't
/// be read.
std::optional<PublishedConfig> readConfig(CommandContext &Context);

/// Appends \p Change and folds the log on until it tells what became of it.
Result<ConfigVerdict> publishChange(CommandContext &Context,
                                    PublishedConfig &Known,
                                    const ConfigChange &Change);

/// Prints each effective setting with its source.
void printExplained(CommandContext &Context, const ResolvedSettings &Resolved);

} // namespace bergamothook

#endif
