#include "LibAdapter/HttpMembership.h"

#include "LibAdapter/MembershipWire.h"

namespace bergamothook {

MembershipHooks makeHttpMembership(HttpClient &Client,
                                   const std::string &Address,
                                   std::uint16_t Port) {
  MembershipHooks Hooks;
  Hooks.Read = [&Client, Address,
                Port](TimePoint Deadline) -> Result<MemberList> {
    HttpCall Call;
    Call.Address = Address;
    Call.Port = Port;
    Call.Path = "/members";
    auto Answer = Client.call(std::move(Call), Deadline);
    if (!Answer || Answer.value().Status != 200)
      return MembershipError::Unavailable;
    auto Json = nlohmann::json::parse(Answer.value().Body, nullptr, false);
    return memberListOfJson(Json);
  };
  return Hooks;
}

} // namespace bergamothook
