/// \file
/// The scheduling classes of requests.

#ifndef BERGAMOTHOOK_LIBBASE_WORKCLASS_H
#define BERGAMOTHOOK_LIBBASE_WORKCLASS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bergamothook {

/// From the first to be scheduled to the last.
enum class WorkClass : std::uint8_t {
  /// Interactive: a user is waiting for the first token.
  QuickAnswer,
  /// A call with external side effects.
  Order,
  /// A long generation that tolerates queueing but must run to completion.
  LongDraft,
};

constexpr std::size_t WorkClassCount = 3;

/// Returns the name of \p Class in settings and requests: "quick", "draft" or
/// "order".
constexpr const char *nameOf(WorkClass Class) {
  switch (Class) {
  case WorkClass::QuickAnswer:
    return "quick";
  case WorkClass::LongDraft:
    return "draft";
  case WorkClass::Order:
    return "order";
  }
  return "unknown";
}

/// The inverse of nameOf(). \returns nothing if \p Name is not a class.
constexpr std::optional<WorkClass> workClassOfName(std::string_view Name) {
  for (WorkClass Class :
       {WorkClass::QuickAnswer, WorkClass::LongDraft, WorkClass::Order})
    if (Name == nameOf(Class))
      return Class;
  return std::nullopt;
}

} // namespace bergamothook

#endif
