#include "RoutingCell.h"

#include <cstdio>

namespace bergamothook {

namespace {

std::string cellName(const RoutingSite &Site, const std::string &What) {
  return Site.Name + "/" + What;
}

std::string lagText(Duration Lag) {
  double Seconds = std::chrono::duration<double>(Lag).count();
  char Text[16];
  std::snprintf(Text, sizeof(Text), "lag%g", Seconds);
  return Text;
}

void addLoads(const RoutingSite &Site, std::vector<RoutingCell> &Cells) {
  using namespace std::chrono_literals;
  for (Duration Lag : {Duration(100ms), Duration(1s), Duration(5s)}) {
    for (double Load : {0.5, 0.8, 0.95, 1.0, 1.3}) {
      RoutingCell Cell;
      Cell.Site = Site;
      Cell.Load = Load;
      Cell.LoadLag = Lag;
      char Text[32];
      std::snprintf(Text, sizeof(Text), "load%g,", Load);
      Cell.Name = cellName(Site, Text + lagText(Lag));
      Cells.push_back(Cell);
    }
  }
}

void addOwnLoads(const RoutingSite &Site, std::vector<RoutingCell> &Cells) {
  for (double Load : {0.8, 1.0, 1.3, 2.0}) {
    RoutingCell Cell;
    Cell.Site = Site;
    Cell.Load = Load;
    Cell.IsOfOwnCapacity = true;
    Cell.LoadLag = std::chrono::seconds(1);
    char Text[32];
    std::snprintf(Text, sizeof(Text), "own%g,lag1", Load);
    Cell.Name = cellName(Site, Text);
    Cells.push_back(Cell);
  }
}

void addFaults(const RoutingSite &Site, std::vector<RoutingCell> &Cells) {
  using namespace std::chrono_literals;
  RoutingCell Base;
  Base.Site = Site;
  Base.LoadLag = 1s;

  RoutingCell Slow = Base;
  Slow.HasSlowTarget = true;
  Slow.Name = cellName(Site, "slow-target");
  Cells.push_back(Slow);

  RoutingCell Lost = Base;
  Lost.LosesDomain = true;
  Lost.Load = 0.5;
  Lost.Name = cellName(Site, "lost-domain");
  Cells.push_back(Lost);

  RoutingCell Late = Base;
  Late.CacheEventDelay = 2s;
  Late.CacheEventLoss = 0.05;
  Late.Name = cellName(Site, "late-cache-events");
  Cells.push_back(Late);

  RoutingCell Burst = Base;
  Burst.HasBurst = true;
  Burst.Name = cellName(Site, "burst");
  Cells.push_back(Burst);
}

} // namespace

std::vector<RoutingCell> routingCells() {
  const std::vector<RoutingSite> Sites{{"fountain", 20, 9, 3, false},
                                       {"fountain-mixed", 20, 9, 3, true},
                                       {"mirandes", 12, 6, 3, false},
                                       {"mirandes-mixed", 12, 6, 3, true}};
  std::vector<RoutingCell> Cells;
  for (const RoutingSite &Site : Sites) {
    addLoads(Site, Cells);
    addOwnLoads(Site, Cells);
    addFaults(Site, Cells);
  }
  return Cells;
}

} // namespace bergamothook
