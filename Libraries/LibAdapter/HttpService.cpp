#include "LibAdapter/HttpService.h"

#include "LibAdapter/ErrorMapping.h"

namespace bergamothook {

namespace {

HttpCall callOf(const TargetAddress &Target, const ServiceCall &Order) {
  HttpCall Call;
  Call.Method = Order.Method;
  Call.Address = Target.Address;
  Call.Port = Target.Port;
  Call.Path = Order.Path;
  Call.Body = Order.Body;
  Call.UsesFreshConnection = true;
  if (!Order.ContentType.empty())
    Call.Headers["Content-Type"] = Order.ContentType;
  Call.Headers[RequestIdHeader] = toHex(Order.Request);
  Call.Headers[AttemptHeader] = std::to_string(Order.Attempt.Value);
  if (Order.FencingNumber > 0)
    Call.Headers[FencingHeader] = std::to_string(Order.FencingNumber);
  return Call;
}

} // namespace

ServiceHooks makeHttpServices(HttpClient &Client) {
  ServiceHooks Hooks;
  Hooks.Call = [&Client](const TargetAddress &Target, const ServiceCall &Order,
                         TimePoint Deadline) -> Result<ServiceAnswer> {
    auto Answer = Client.call(callOf(Target, Order), Deadline);
    if (!Answer)
      return targetErrorOf(Answer.error());
    HttpAnswer &Got = Answer.value();
    if (auto Refusal = targetRefusalOf(Got.Headers))
      return Refusal;
    ServiceAnswer Reply;
    Reply.Status = static_cast<std::uint16_t>(Got.Status);
    Reply.ContentType = Got.Headers["content-type"];
    Reply.Body = std::move(Got.Body);
    return Reply;
  };
  return Hooks;
}

} // namespace bergamothook
