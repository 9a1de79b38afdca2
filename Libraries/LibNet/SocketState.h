/// \file
/// What the kernel knows of a TCP connection beyond what reads and writes tell.

#ifndef BERGAMOTHOOK_LIBNET_SOCKETSTATE_H
#define BERGAMOTHOOK_LIBNET_SOCKETSTATE_H

namespace bergamothook {

/// \returns whether the peer of a socket has acknowledged all that was written,
/// and has not reset the connection. Once the peer has sent a FIN, reads do not
/// report the RST for bytes that it did not read.
bool hasPeerReceivedAll(int Descriptor);

} // namespace bergamothook

#endif
