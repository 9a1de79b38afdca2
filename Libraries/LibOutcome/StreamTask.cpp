#include "LibOutcome/StreamTask.h"

#include "LibOutcome/StreamRun.h"

namespace bergamothook {

StreamOutcome runStream(const StreamRequest &Request, const StreamHooks &Hooks,
                        const StreamSettings &Settings) {
  return detail::StreamRun(Request, Hooks, Settings).run();
}

} // namespace bergamothook
