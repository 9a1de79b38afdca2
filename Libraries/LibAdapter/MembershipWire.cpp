#include "LibAdapter/MembershipWire.h"

#include "LibBase/ErrorCategory.h"

#include <array>
#include <limits>

namespace bergamothook {

namespace {

const char *describe(MembershipError Value) {
  switch (Value) {
  case MembershipError::Unavailable:
    return "the membership service did not answer";
  case MembershipError::BadAnswer:
    return "the membership service's answer is malformed";
  }
  return "unknown membership error";
}

const ErrorCategory<MembershipError> &category() {
  static const ErrorCategory<MembershipError> Category("membership", describe);
  return Category;
}

struct RoleName {
  MemberRole Role;
  const char *Name;
};

constexpr std::array<RoleName, 4> RoleNames{{
    {MemberRole::EntryHost, "entry_host"},
    {MemberRole::Engine, "engine"},
    {MemberRole::OrderRunner, "order_runner"},
    {MemberRole::Service, "service"},
}};

const char *nameOf(MemberRole Role) {
  for (const RoleName &Entry : RoleNames)
    if (Entry.Role == Role)
      return Entry.Name;
  return "unknown";
}

Result<MemberRole> roleOfName(const std::string &Name) {
  for (const RoleName &Entry : RoleNames)
    if (Name == Entry.Name)
      return Entry.Role;
  return MembershipError::BadAnswer;
}

Result<MemberState> stateOfName(const std::string &Name) {
  if (Name == "live")
    return MemberState::Live;
  if (Name == "leaving")
    return MemberState::Leaving;
  return MembershipError::BadAnswer;
}

/// Throws nlohmann's exceptions where a value has the wrong type.
Result<Member> memberOfJson(const nlohmann::json &Json) {
  Member Line;
  Line.Name = Json.at("name").get<std::string>();
  BOOST_OUTCOME_TRY(Role, roleOfName(Json.at("role").get<std::string>()));
  Line.Role = Role;
  BOOST_OUTCOME_TRY(State, stateOfName(Json.value("state", "live")));
  Line.State = State;
  Line.FailureDomain = Json.value("failure_domain", "");
  Line.Address = Json.at("address").get<std::string>();
  auto Port = Json.at("port").get<std::uint64_t>();
  if (Port == 0 || Port > std::numeric_limits<std::uint16_t>::max())
    return MembershipError::BadAnswer;
  Line.Port = static_cast<std::uint16_t>(Port);
  Line.Serves = Json.value("serves", std::vector<std::string>());
  Line.ChecksFence = Json.value("checks_fence", false);
  return Line;
}

} // namespace

std::error_code make_error_code(MembershipError Value) {
  return {static_cast<int>(Value), category()};
}

nlohmann::json toJson(const Member &Line) {
  bool IsLive = Line.State == MemberState::Live;
  return {{"name", Line.Name},
          {"role", nameOf(Line.Role)},
          {"state", IsLive ? "live" : "leaving"},
          {"failure_domain", Line.FailureDomain},
          {"address", Line.Address},
          {"port", Line.Port},
          {"serves", Line.Serves},
          {"checks_fence", Line.ChecksFence}};
}

nlohmann::json toJson(const MemberList &List) {
  auto Members = nlohmann::json::array();
  for (const Member &Line : List.Members)
    Members.push_back(toJson(Line));
  return {{"version", List.Version}, {"members", Members}};
}

Result<MemberList> memberListOfJson(const nlohmann::json &Json) {
  MemberList List;
  try {
    List.Version = Json.at("version").get<std::uint64_t>();
    for (const auto &Line : Json.at("members")) {
      BOOST_OUTCOME_TRY(Parsed, memberOfJson(Line));
      List.Members.push_back(std::move(Parsed));
    }
  } catch (const nlohmann::json::exception &) {
    return MembershipError::BadAnswer;
  }
  return List;
}

} // namespace bergamothook
