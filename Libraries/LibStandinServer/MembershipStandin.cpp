#include "LibStandinServer/MembershipStandin.h"

#include "LibAdapter/MembershipWire.h"

namespace bergamothook {

MembershipStandin::MembershipStandin(std::vector<Member> First, Runtime Tasks)
    : Membership(std::move(First)), Tasks(std::move(Tasks)) {
  this->Faults.addFlag("is_down", this->Membership.IsDown);
  this->Faults.addTime("lag_ms", this->Membership.Lag);
}

void MembershipStandin::serve(const HttpRequest &Request, HttpReply Reply) {
  if (answerCommon(Request, Reply, this->Faults))
    return;
  if (Request.Path != "/members")
    answerJson(Reply, 404, {{"error", "no such path"}});
  else if (Request.Method == "POST")
    this->replace(Request, Reply);
  else if (this->Membership.IsDown)
    answerJson(Reply, 503, {{"error", "unavailable"}});
  else
    answerJson(Reply, 200, toJson(this->Membership.visible(this->Tasks.Now())));
}

void MembershipStandin::replace(const HttpRequest &Request, HttpReply &Reply) {
  auto Body = parseBody(Request, Reply);
  if (!Body)
    return;
  if (Body->is_object())
    (*Body)["version"] = 0;
  auto List = memberListOfJson(*Body);
  if (!List) {
    answerFailure(Reply, 400, List.error());
    return;
  }
  std::uint64_t Version = this->Membership.replace(
      std::move(List.value().Members), this->Tasks.Now());
  answerJson(Reply, 200, {{"version", Version}});
}

} // namespace bergamothook
