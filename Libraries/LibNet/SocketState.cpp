#include "LibNet/SocketState.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace bergamothook {

bool hasPeerReceivedAll(int Descriptor) {
  int UnacknowledgedBytes = 0;
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  return ::ioctl(Descriptor, SIOCOUTQ, &UnacknowledgedBytes) == 0 &&
         UnacknowledgedBytes == 0 &&
         ::getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) == 0 &&
         Info.tcpi_state != TCP_CLOSE;
}

} // namespace bergamothook
