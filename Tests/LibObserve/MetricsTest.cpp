#include "LibObserve/Metrics.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("counters and gauges are exported with one TYPE line per family") {
  Metrics Registry;
  Registry.count("requests_total{outcome=\"done\"}");
  Registry.count("requests_total{outcome=\"done\"}", 2);
  Registry.count("requests_total{outcome=\"unknown\"}");
  Registry.set("streams", 4);
  CHECK(Registry.value("requests_total{outcome=\"done\"}") == 3);
  CHECK(Registry.toPrometheusText() ==
        "# TYPE bergamothook_requests_total counter\n"
        "bergamothook_requests_total{outcome=\"done\"} 3\n"
        "bergamothook_requests_total{outcome=\"unknown\"} 1\n"
        "# TYPE bergamothook_streams gauge\n"
        "bergamothook_streams 4\n");
}

TEST_CASE("a histogram counts every duration, also those outside its range") {
  Metrics Registry;
  Registry.observe("wait_seconds", 1ns);
  Registry.observe("wait_seconds", 10ms);
  Registry.observe("wait_seconds", 1h);
  std::string Text = Registry.toPrometheusText();
  CHECK(Text.find("wait_seconds_count 3\n") != std::string::npos);
  CHECK(Text.find("le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(Text.find("# TYPE bergamothook_wait_seconds histogram") == 0);
}
