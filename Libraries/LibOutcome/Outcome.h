/// \file
/// The outcome of a request.

#ifndef BERGAMOTHOOK_LIBOUTCOME_OUTCOME_H
#define BERGAMOTHOOK_LIBOUTCOME_OUTCOME_H

namespace bergamothook {

/// Whether a request ran. NotRun is reported only if it is proven for every
/// attempt of the request; in doubt the outcome is Unknown.
enum class Outcome { Done, NotRun, Unknown, InProgress };

/// \returns the name of \p Value on the wire and in reports.
constexpr const char *nameOf(Outcome Value) {
  switch (Value) {
  case Outcome::Done:
    return "done";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::InProgress:
    return "in-progress";
  }
  return "unknown";
}

} // namespace bergamothook

#endif
