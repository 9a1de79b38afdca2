#include "LibStandinServer/MembershipStandin.h"

#include "LibAdapter/MembershipWire.h"

namespace bergamothook {

MembershipStandin::MembershipStandin(std::vector<Member> Initial, Runtime Tasks)
    : Membership(std::move(Initial)), Tasks(std::move(Tasks)) {
  this->Faults.addFlag("is_down", this->Membership.IsDown);
  this->Faults.addTime("lag_ms", this->Membership.Lag);
}

void MembershipStandin::serve(const HttpRequest &Request, HttpReply Reply) {
  if (serveCommonPaths(Request, Reply, this->Faults))
    return;
  if (Request.Path != "/members")
    sendJson(Reply, 404, {{"error", "no such path"}});
  else if (Request.Method == "POST")
    this->replace(Request, Reply);
  else if (this->Membership.IsDown)
    sendJson(Reply, 503, {{"error", "unavailable"}});
  else
    sendJson(Reply, 200, toJson(this->Membership.visible(this->Tasks.Now())));
}

void MembershipStandin::replace(const HttpRequest &Request, HttpReply &Reply) {
  auto Body = parseBody(Request, Reply);
  if (!Body)
    return;
  if (Body->is_object())
    (*Body)["version"] = 0;
  auto List = memberListOfJson(*Body);
  if (!List) {
    sendError(Reply, 400, List.error());
    return;
  }
  std::uint64_t Version = this->Membership.replace(
      std::move(List.value().Members), this->Tasks.Now());
  sendJson(Reply, 200, {{"version", Version}});
}

} // namespace bergamothook
