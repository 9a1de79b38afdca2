/// \file
/// The kinds of work that wait in different ways.

#ifndef BERGAMOTHOOK_LIBBASE_WORKCLASS_H
#define BERGAMOTHOOK_LIBBASE_WORKCLASS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bergamothook {

/// In the order in which they go first.
enum class WorkClass : std::uint8_t {
  /// Someone waits for the first token.
  QuickAnswer,
  /// A call that changes something outside.
  Order,
  /// A long generation that may wait and has to finish.
  LongDraft,
};

constexpr std::size_t WorkClassCount = 3;

/// The name of \p Class in settings and requests: "quick", "draft" or "order".
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

/// Reads what nameOf() writes.
constexpr std::optional<WorkClass> workClassOfName(std::string_view Name) {
  for (WorkClass Class :
       {WorkClass::QuickAnswer, WorkClass::LongDraft, WorkClass::Order})
    if (Name == nameOf(Class))
      return Class;
  return std::nullopt;
}

} // namespace bergamothook

#endif
