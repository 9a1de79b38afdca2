#include "Command.h"

namespace bergamothook {

namespace {
constexpr Duration CallTimeout = std::chrono::seconds(15);
constexpr int FirstFailureStatus = 300;
} // namespace

std::map<std::string, Command> &commands() {
  static std::map<std::string, Command> All;
  return All;
}

CommandRegistration::CommandRegistration(const std::string &Name,
                                         Command Added) {
  commands().emplace(Name, std::move(Added));
}

std::optional<nlohmann::json> callHost(CommandContext &Context,
                                       const OperatorEndpoint &Host,
                                       const std::string &Method,
                                       const std::string &Path,
                                       const std::string &Body) {
  HttpCall Call;
  Call.Method = Method;
  Call.Address = Host.Address;
  Call.Port = Host.Port;
  Call.Path = Path;
  Call.Body = Body;
  Call.Headers["authorization"] = "Bearer " + Context.Token;
  auto Answer = Context.Http->call(Call, Context.Tasks.Now() + CallTimeout);
  if (!Answer) {
    Context.Err << Host.Host << ": " << Answer.error().message() << "\n";
    return std::nullopt;
  }
  auto Document = nlohmann::json::parse(Answer.value().Body, nullptr, false);
  if (Answer.value().Status >= FirstFailureStatus || Document.is_discarded()) {
    Context.Err << Host.Host << ": status " << Answer.value().Status << ": "
                << Answer.value().Body << "\n";
    return std::nullopt;
  }
  return Document;
}

} // namespace bergamothook
