#include "LibConfig/EffectiveService.h"

#include <algorithm>

namespace bergamothook {

bool EffectiveService::isRepeatable(std::string_view Method,
                                    std::string_view Path) const {
  for (const auto &Rule : this->Rules)
    if ((Rule.Method == "*" || Rule.Method == Method) &&
        Path.starts_with(Rule.PathPrefix))
      return Rule.IsRepeatable;
  return false;
}

bool EffectiveOperator::hasRole(OperatorRole Role) const {
  return std::find(this->Roles.begin(), this->Roles.end(), Role) !=
         this->Roles.end();
}

} // namespace bergamothook
