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

void RelayConfig::addRoute(RelayRoute Route) {
  auto &HostRoutes = this->Routes[hostKey(Route.Host)];
  auto Place = std::find_if(
      HostRoutes.begin(), HostRoutes.end(), [&Route](const RelayRoute &Other) {
        return Other.PathPrefix.size() < Route.PathPrefix.size();
      });
  HostRoutes.insert(Place, std::move(Route));
  ++this->RouteCount;
}

void RelayConfig::addService(RoutedService Service) {
  std::string Name = Service.Name;
  this->Services.insert_or_assign(std::move(Name), std::move(Service));
}

void RelayConfig::addTeam(const RelayTeam &Team,
                          const std::vector<std::string> &Keys) {
  this->Teams.insert_or_assign(Team.Name, Team);
  for (const std::string &Key : Keys)
    if (!Key.empty())
      this->TeamOfKey.insert_or_assign(Key, Team.Name);
}

const RelayRoute *RelayConfig::findRoute(std::string_view Host,
                                         std::string_view Target) const {
  auto Found = this->Routes.find(hostKey(Host));
  if (Found == this->Routes.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find('?'));
  for (const RelayRoute &Route : Found->second)
    if (Path.starts_with(Route.PathPrefix))
      return &Route;
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
  for (const auto &[Host, HostRoutes] : this->Routes)
    for (const RelayRoute &Route : HostRoutes)
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
  auto Name = this->TeamOfKey.find(std::string(Key));
  if (Name == this->TeamOfKey.end())
    return nullptr;
  auto Found = this->Teams.find(Name->second);
  return Found == this->Teams.end() ? nullptr : &Found->second;
}

} // namespace bergamothook
