#include "LibObserve/Metrics.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("counters and gauges are written with one type line a family") {
  Metrics Present;
  Present.count("requests_total{outcome=\"done\"}");
  Present.count("requests_total{outcome=\"done\"}", 2);
  Present.count("requests_total{outcome=\"unknown\"}");
  Present.set("streams", 4);
  CHECK(Present.value("requests_total{outcome=\"done\"}") == 3);
  CHECK(Present.toPrometheusText() ==
        "# TYPE bergamothook_requests_total counter\n"
        "bergamothook_requests_total{outcome=\"done\"} 3\n"
        "bergamothook_requests_total{outcome=\"unknown\"} 1\n"
        "# TYPE bergamothook_streams gauge\n"
        "bergamothook_streams 4\n");
}

TEST_CASE("a distribution counts every time, also those outside its range") {
  Metrics Present;
  Present.observe("wait_seconds", 1ns);
  Present.observe("wait_seconds", 10ms);
  Present.observe("wait_seconds", 1h);
  std::string Text = Present.toPrometheusText();
  CHECK(Text.find("wait_seconds_count 3\n") != std::string::npos);
  CHECK(Text.find("le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(Text.find("# TYPE bergamothook_wait_seconds histogram") == 0);
}
