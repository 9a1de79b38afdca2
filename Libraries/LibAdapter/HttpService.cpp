#include "LibAdapter/HttpService.h"

#include "LibAdapter/ErrorMapping.h"

namespace bergamothook {

namespace {

HttpCall makeServiceCall(const TargetAddress &Target,
                         const ServiceCall &Request) {
  HttpCall Call;
  Call.Method = Request.Method;
  Call.Address = Target.Address;
  Call.Port = Target.Port;
  Call.Path = Request.Path;
  Call.Body = Request.Body;
  Call.UsesFreshConnection = true;
  if (!Request.ContentType.empty())
    Call.Headers["Content-Type"] = Request.ContentType;
  Call.Headers[RequestIdHeader] = toHex(Request.Request);
  Call.Headers[AttemptHeader] = std::to_string(Request.Attempt.Value);
  if (Request.FencingNumber > 0)
    Call.Headers[FencingHeader] = std::to_string(Request.FencingNumber);
  return Call;
}

} // namespace

ServiceHooks makeHttpServices(HttpClient &Client) {
  ServiceHooks Hooks;
  Hooks.Call = [&Client](const TargetAddress &Target,
                         const ServiceCall &Request,
                         TimePoint Deadline) -> Result<ServiceAnswer> {
    auto Answer = Client.call(makeServiceCall(Target, Request), Deadline);
    if (!Answer)
      return targetErrorOf(Answer.error());
    HttpResponse &Response = Answer.value();
    if (auto NotRun = notRunErrorOf(Response.Headers))
      return NotRun;
    ServiceAnswer Reply;
    Reply.Status = static_cast<std::uint16_t>(Response.Status);
    Reply.ContentType = Response.Headers["content-type"];
    Reply.Body = std::move(Response.Body);
    return Reply;
  };
  return Hooks;
}

} // namespace bergamothook
