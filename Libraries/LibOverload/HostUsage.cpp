#include "LibOverload/HostUsage.h"

namespace bergamothook {

const char *nameOf(HostResource Resource) {
  switch (Resource) {
  case HostResource::LinkReceive:
    return "link_receive";
  case HostResource::LinkSend:
    return "link_send";
  case HostResource::Descriptors:
    return "descriptors";
  case HostResource::Memory:
    return "memory";
  }
  return "unknown";
}

} // namespace bergamothook
