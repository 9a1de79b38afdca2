set(DEPENDS LibConfig LibMembership LibPeer)
