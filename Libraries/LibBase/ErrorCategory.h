/// \file
/// A std::error_category built from an error enumeration and a function that
/// returns the message of each value.

#ifndef BERGAMOTHOOK_LIBBASE_ERRORCATEGORY_H
#define BERGAMOTHOOK_LIBBASE_ERRORCATEGORY_H

#include <string>
#include <system_error>

namespace bergamothook {

/// The error category of the enumeration \p Enum. Enumerators start at 1,
/// because a std::error_code with the value 0 means success.
template <typename Enum>
class ErrorCategory final : public std::error_category {
public:
  using Describe = const char *(*)(Enum);

  ErrorCategory(const char *Name, Describe MessageOf)
      : CategoryName(Name), MessageOf(MessageOf) {}

  const char *name() const noexcept override { return this->CategoryName; }

  std::string message(int Value) const override {
    return this->MessageOf(static_cast<Enum>(Value));
  }

private:
  const char *CategoryName;
  Describe MessageOf;
};

} // namespace bergamothook

#endif
