#include "LibConfig/EffectiveTeam.h"

#include <algorithm>

namespace bergamothook {

const char *nameOf(WorkClass Class) {
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

bool EffectiveTeam::allowsModel(ModelId Model) const {
  return std::binary_search(this->Models.begin(), this->Models.end(), Model);
}

bool EffectiveTeam::allowsService(const std::string &Service) const {
  return std::binary_search(this->Services.begin(), this->Services.end(),
                            Service);
}

} // namespace bergamothook
