#include "LibRelay/RelayConfig.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// Host names compare case-insensitively and without the port.
std::string hostKey(std::string_view Host) {
  std::string Key(Host.substr(0, Host.find(':')));
  std::transform(Key.begin(), Key.end(), Key.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  return Key;
}

} // namespace

const char *nameOf(CallerAccess Access) {
  switch (Access) {
  case CallerAccess::Open:
    return "open";
  case CallerAccess::ByKey:
    return "by_key";
  }
  return "unknown_access";
}

const char *nameOf(ConfigProblemKind Kind) {
  switch (Kind) {
  case ConfigProblemKind::Missing:
    return "missing";
  case ConfigProblemKind::WrongType:
    return "wrong_type";
  case ConfigProblemKind::OutOfRange:
    return "out_of_range";
  case ConfigProblemKind::Ambiguous:
    return "ambiguous";
  case ConfigProblemKind::UnknownService:
    return "unknown_service";
  }
  return "unknown_problem";
}

bool RelayConfig::addRoute(RelayRoute Route) {
  HostRoutes &Known = this->Routes[hostKey(Route.Host)];
  Known.LongestPrefix = std::max(Known.LongestPrefix, Route.PathPrefix.size());
  std::string Prefix = Route.PathPrefix;
  auto [Place, IsOnly] =
      Known.ByPrefix.try_emplace(std::move(Prefix), std::move(Route));
  if (!IsOnly) {
    Place->second.IsReadable = false;
    return false;
  }
  ++this->RouteCount;
  return true;
}

bool RelayConfig::addService(RoutedService Service) {
  std::string Name = Service.Name;
  auto [Place, IsOnly] =
      this->Services.try_emplace(std::move(Name), std::move(Service));
  if (!IsOnly)
    Place->second.IsReadable = false;
  return IsOnly;
}

bool RelayConfig::addTeam(const RelayTeam &Team,
                          const std::vector<std::string> &Keys) {
  auto [Place, IsOnly] = this->Teams.try_emplace(Team.Name, Team);
  RelayTeam &Known = Place->second;
  if (Known.Budget != Team.Budget || !Team.HasReadableBudget) {
    Known.Budget.reset();
    Known.HasReadableBudget = false;
  }
  Known.IsReadable &= Team.IsReadable;
  for (const std::string &Key : Keys) {
    if (Key.empty())
      continue;
    auto [Owner, IsNew] = this->TeamOfKey.try_emplace(Key, Team.Name);
    if (!IsNew && Owner->second != Team.Name) {
      Owner->second.reset();
      IsOnly = false;
    }
  }
  return IsOnly;
}

const RelayRoute *RelayConfig::findRoute(std::string_view Host,
                                         std::string_view Target) const {
  auto Found = this->Routes.find(hostKey(Host));
  if (Found == this->Routes.end())
    return nullptr;
  std::string_view Prefix = Target.substr(0, Target.find('?'));
  // Longer ones match no route, and callers choose their number.
  Prefix = Prefix.substr(0, Found->second.LongestPrefix);
  for (std::size_t End = Prefix.rfind('/'); End != std::string_view::npos;
       End = Prefix.rfind('/')) {
    auto Route = Found->second.ByPrefix.find(Prefix.substr(0, End + 1));
    if (Route != Found->second.ByPrefix.end())
      return &Route->second;
    Prefix = Prefix.substr(0, End);
  }
  return nullptr;
}

std::map<std::string, double> RelayConfig::coldRates() const {
  std::map<std::string, double> Rates;
  for (const auto &[Name, Service] : this->Services)
    if (Service.ColdPerSecond > 0)
      Rates[Name] = Service.ColdPerSecond;
  return Rates;
}

std::set<std::string> RelayConfig::resumableServices() const {
  std::set<std::string> Services;
  for (const auto &[Host, Known] : this->Routes)
    for (const auto &[Prefix, Route] : Known.ByPrefix)
      if (Route.hasResumableStreams())
        for (const ServiceShare &Share : Route.Services)
          Services.insert(Share.Service);
  return Services;
}

const RoutedService *RelayConfig::findService(const std::string &Name) const {
  auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

const RelayTeam *RelayConfig::findTeamByKey(std::string_view Key) const {
  auto Owner = this->TeamOfKey.find(std::string(Key));
  if (Owner == this->TeamOfKey.end() || !Owner->second)
    return nullptr;
  auto Found = this->Teams.find(*Owner->second);
  return Found == this->Teams.end() ? nullptr : &Found->second;
}

bool RelayConfig::mayHaveKey(std::string_view Key) const {
  return !this->HasAllKeys || this->TeamOfKey.contains(std::string(Key));
}

} // namespace bergamothook
