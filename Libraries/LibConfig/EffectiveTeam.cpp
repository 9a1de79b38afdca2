#include "LibConfig/EffectiveTeam.h"

#include <algorithm>

namespace bergamothook {

bool EffectiveTeam::allowsModel(ModelId Model) const {
  return std::binary_search(this->Models.begin(), this->Models.end(), Model);
}

bool EffectiveTeam::allowsService(const std::string &Service) const {
  return std::binary_search(this->Services.begin(), this->Services.end(),
                            Service);
}

} // namespace bergamothook
