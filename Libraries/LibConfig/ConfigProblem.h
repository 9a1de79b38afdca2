/// \file
/// The reason why a change is rejected, with the location of the invalid value.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGPROBLEM_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGPROBLEM_H

#include "LibBase/Result.h"
#include "LibConfig/ConfigError.h"
#include "LibConfig/ConfigObject.h"

namespace bergamothook {

/// One problem of a change, and its location.
struct ConfigProblem {
  ConfigError Error = ConfigError::Malformed;
  ObjectKey Object;
  /// The JSON pointer of the value within the object.
  std::string Pointer;
  /// The invalid value, as JSON or as a name.
  std::string Found;
  /// A description of the allowed values, such as a range.
  std::string Allowed;
};

/// Formats \p Problem as one line for an operator.
inline std::string toString(const ConfigProblem &Problem) {
  std::string Text = make_error_code(Problem.Error).message() + ": " +
                     toString(Problem.Object) + " at \"" + Problem.Pointer +
                     "\"";
  if (!Problem.Found.empty())
    Text += ", found " + Problem.Found;
  if (!Problem.Allowed.empty())
    Text += ", allowed " + Problem.Allowed;
  return Text;
}

/// Holds a \p T, or the problem that prevented it. Accessing the alternative
/// that it does not hold throws.
template <typename T>
using ConfigResult = boost::outcome_v2::result<
    T, ConfigProblem,
    boost::outcome_v2::policy::throw_bad_result_access<ConfigProblem, void>>;

} // namespace bergamothook

#endif
