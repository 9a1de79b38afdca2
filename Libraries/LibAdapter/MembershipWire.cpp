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

/// Throws nlohmann's exceptions if a value has the wrong type.
Result<Member> memberOfJson(const nlohmann::json &Json) {
  Member Entry;
  Entry.Name = Json.at("name").get<std::string>();
  BOOST_OUTCOME_TRY(Role, roleOfName(Json.at("role").get<std::string>()));
  Entry.Role = Role;
  BOOST_OUTCOME_TRY(State, stateOfName(Json.value("state", "live")));
  Entry.State = State;
  Entry.FailureDomain = Json.value("failure_domain", "");
  Entry.Address = Json.at("address").get<std::string>();
  auto Port = Json.at("port").get<std::uint64_t>();
  if (Port == 0 || Port > std::numeric_limits<std::uint16_t>::max())
    return MembershipError::BadAnswer;
  Entry.Port = static_cast<std::uint16_t>(Port);
  Entry.Serves = Json.value("serves", std::vector<std::string>());
  Entry.ChecksFence = Json.value("checks_fence", false);
  return Entry;
}

} // namespace

std::error_code make_error_code(MembershipError Value) {
  return {static_cast<int>(Value), category()};
}

nlohmann::json toJson(const Member &Entry) {
  bool IsLive = Entry.State == MemberState::Live;
  return {{"name", Entry.Name},
          {"role", nameOf(Entry.Role)},
          {"state", IsLive ? "live" : "leaving"},
          {"failure_domain", Entry.FailureDomain},
          {"address", Entry.Address},
          {"port", Entry.Port},
          {"serves", Entry.Serves},
          {"checks_fence", Entry.ChecksFence}};
}

nlohmann::json toJson(const MemberList &List) {
  auto Members = nlohmann::json::array();
  for (const Member &Entry : List.Members)
    Members.push_back(toJson(Entry));
  return {{"version", List.Version}, {"members", Members}};
}

Result<MemberList> memberListOfJson(const nlohmann::json &Json) {
  MemberList List;
  try {
    List.Version = Json.at("version").get<std::uint64_t>();
    for (const auto &Entry : Json.at("members")) {
      BOOST_OUTCOME_TRY(Parsed, memberOfJson(Entry));
      List.Members.push_back(std::move(Parsed));
    }
  } catch (const nlohmann::json::exception &) {
    return MembershipError::BadAnswer;
  }
  return List;
}

} // namespace bergamothook
