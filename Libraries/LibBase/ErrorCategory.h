/// \file
/// Makes a std::error_category out of an enumeration and one function that
/// gives the text of each value.

#ifndef BERGAMOTHOOK_LIBBASE_ERRORCATEGORY_H
#define BERGAMOTHOOK_LIBBASE_ERRORCATEGORY_H

#include <string>
#include <system_error>

namespace bergamothook {

/// The category of the enumeration \p Enum. Its values start at 1, since the
/// value 0 of an std::error_code means success.
template <typename Enum>
class ErrorCategory final : public std::error_category {
public:
  using Describe = const char *(*)(Enum);

  ErrorCategory(const char *Name, Describe Text)
      : CategoryName(Name), Text(Text) {}

  const char *name() const noexcept override { return this->CategoryName; }

  std::string message(int Value) const override {
    return this->Text(static_cast<Enum>(Value));
  }

private:
  const char *CategoryName;
  Describe Text;
};

} // namespace bergamothook

#endif
