/// \file
/// Simulates the platform's membership list over HTTP.
///
///     GET  /members   -> {"version": N, "members": [...]}, with a lag
///     POST /members   {"members": [...]} replaces the list

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_MEMBERSHIPSTANDIN_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_MEMBERSHIPSTANDIN_H

#include "LibStandin/MemoryMembership.h"
#include "LibStandinServer/StandinResponses.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

class MembershipStandin {
public:
  MembershipStandin(std::vector<Member> Initial, Runtime Tasks);
  MembershipStandin(const MembershipStandin &) = delete;
  MembershipStandin &operator=(const MembershipStandin &) = delete;

  void serve(const HttpRequest &Request, HttpReply Reply);

  MemoryMembership Membership;
  FaultTable Faults;

private:
  void replace(const HttpRequest &Request, HttpReply &Reply);

  Runtime Tasks;
};

} // namespace bergamothook

#endif
